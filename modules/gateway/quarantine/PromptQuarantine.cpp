#include "gateway/quarantine/PromptQuarantine.h"

#include <algorithm>
#include <utility>

namespace papayashelf {

namespace {

/** Sum of weights at which the crashes in a row are no coincidence. */
constexpr double requiredWeight = 3;
constexpr double begunAnswerWeight = 1;
/** Many requests wait or stream at an upstream that crashes, and only one can be the cause. */
constexpr double sharedWeight = 0.6;
/** Upstreams that crash together have a cause in common that is no request. */
constexpr Milliseconds simultaneousCrashes { 100 };
/** Weight of the crashes under one request at which it is more likely the cause than not. */
constexpr double likelyWeight = 2;
/** Longer than a quarantine, so that one crash after its end begins the next one. */
constexpr Milliseconds suspectLifetime = PromptQuarantine::duration * 3;
constexpr std::size_t maximumSuspects = 256; /**< The suspects of some ten crashes of busy upstreams. */
constexpr std::size_t droppedAtOnce = 32; /**< Spreads the cost of the choice over many suspects. */
constexpr std::size_t maximumQuarantines = 64; /**< More are no matter of single prompts, or of single requests. */
/** Time in which evidence reaches all VMs by messages. VMs that start later read quarantines from the store. */
constexpr Milliseconds exchangeTime { 8'000 };
constexpr std::size_t maximumExchangedSuspects = 16; /**< Keeps messages below a few kilobytes. */
constexpr std::size_t maximumExchangedUnconfirmed = 16; /**< The same, for quarantines that began earlier. */
constexpr Milliseconds harmlessMemory { 60'000 }; /**< Engines and their weights seldom change within this time. */
constexpr std::size_t maximumAnsweredParts = 4'096; /**< Of each service; about half a megabyte. */

bool isOfRequest(const PromptSignature& prompt)
{
    return prompt.parts.size() == 1 && isRequestIdentity(prompt.parts.front());
}

/** Returns the identity of the request among the parts; empty for suspects of earlier versions. */
PromptPartId findIdentity(const PromptSignature& prompt)
{
    const auto found = std::find_if(prompt.parts.begin(), prompt.parts.end(), isRequestIdentity);
    return found == prompt.parts.end() ? PromptPartId() : *found;
}

Milliseconds getUnconfirmedDuration(const PromptSignature& prompt)
{
    return isOfRequest(prompt) ? PromptQuarantine::unconfirmedRequestDuration : PromptQuarantine::unconfirmedDuration;
}

PromptParts intersect(const PromptParts& left, const PromptParts& right)
{
    PromptParts common;
    std::set_intersection(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(common));
    return common;
}

} // namespace

std::optional<Milliseconds> PromptQuarantine::findAnswered(const ServiceId& service, const PromptPartId& part) const
{
    const auto parts = this->answeredAt.find(service);
    if (parts == this->answeredAt.end())
        return std::nullopt;
    const auto found = parts->second.find(part);
    return found == parts->second.end() ? std::nullopt : std::optional(found->second);
}

void PromptQuarantine::noteAnswered(Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts)
{
    for (const PromptPartId& part : parts)
        this->mergeAnswered(now, service, part);
    this->mergeServiceAnswer(now, service);
}

void PromptQuarantine::noteRequestAnswered(Milliseconds now, const ServiceId& service, const PromptPartId& request)
{
    this->mergeAnswered(now, service, request);
}

void PromptQuarantine::mergeServiceAnswer(Milliseconds at, const ServiceId& service)
{
    Milliseconds& last = this->serviceAnsweredAt.try_emplace(service, at).first->second;
    last = std::max(last, at);
    for (auto& [prompt, quarantine] : this->quarantines) {
        if (prompt.service == service && at >= quarantine.beganAt)
            this->confirm(prompt, quarantine);
    }
}

void PromptQuarantine::confirm(const PromptSignature& prompt, Quarantine& quarantine)
{
    if (!std::exchange(quarantine.isConfirmed, true) && quarantine.isOwn)
        this->changes.push_back({ prompt, QuarantineStep::Confirmed, quarantinecauses::answersToOthers });
}

void PromptQuarantine::mergeAnswered(Milliseconds at, const ServiceId& service, const PromptPartId& part)
{
    auto& parts = this->answeredAt[service];
    if (parts.size() >= maximumAnsweredParts && !parts.contains(part)) {
        std::erase_if(parts, [at](const auto& entry) { return at - entry.second > harmlessMemory; });
        if (parts.size() >= maximumAnsweredParts)
            parts.clear();
    }
    Milliseconds& last = parts.try_emplace(part, at).first->second;
    last = std::max(last, at);
    if (!this->quarantines.empty())
        this->acquit(at, service, part);
}

void PromptQuarantine::acquit(Milliseconds at, const ServiceId& service, const PromptPartId& part)
{
    std::vector<std::pair<PromptSignature, Quarantine>> narrowed;
    for (const auto& [prompt, quarantine] : this->quarantines) {
        const bool hasPart = std::binary_search(prompt.parts.begin(), prompt.parts.end(), part);
        if (prompt.service == service && at >= quarantine.blamedSince && hasPart)
            narrowed.emplace_back(prompt, quarantine);
    }
    for (const auto& [prompt, quarantine] : narrowed) {
        this->refuted[{ service, part }] = std::max(at, quarantine.beganAt);
        this->end(prompt, prompt.parts.size() == 1 ? quarantinecauses::answered : quarantinecauses::narrowed);
        this->start(quarantine.beganAt, quarantine.blamedSince, prompt, quarantinecauses::narrowed);
    }
}

void PromptQuarantine::noteSuspect(Milliseconds now, const CrashSuspect& suspect)
{
    this->addSuspect(now, { suspect.incarnation, suspect.prompt, suspect.progress, now, suspect.isRepeat });
}

void PromptQuarantine::addSuspect(Milliseconds now, const Suspect& suspect)
{
    const auto known = std::find_if(this->suspects.begin(), this->suspects.end(), [&suspect](const Suspect& other) {
        return other.incarnation == suspect.incarnation && other.prompt == suspect.prompt;
    });
    if (known != this->suspects.end()) {
        const Suspect before = *known;
        if (suspect.progress == SuspectProgress::Begun || known->progress == SuspectProgress::Waiting)
            known->progress = suspect.progress;
        known->isRepeat = known->isRepeat || suspect.isRepeat;
        if (known->progress == before.progress && known->isRepeat == before.isRepeat)
            return;
    } else {
        this->suspects.push_back(suspect);
        if (this->suspects.size() > maximumSuspects)
            this->dropLeastUseful();
    }
    this->judge(now, suspect.prompt);
}

bool PromptQuarantine::isCleared(const Suspect& suspect, const PromptPartId& part) const
{
    const std::optional<Milliseconds> answered = this->findAnswered(suspect.prompt.service, part);
    return answered && *answered >= suspect.crashedAt;
}

std::map<const PromptQuarantine::Suspect*, std::size_t> PromptQuarantine::countCrashes() const
{
    std::map<std::pair<ServiceId, PromptPartId>, std::set<std::string_view>> crashed;
    for (const Suspect& suspect : this->suspects) {
        for (const PromptPartId& part : suspect.prompt.parts) {
            if (!this->isCleared(suspect, part))
                crashed[{ suspect.prompt.service, part }].insert(suspect.incarnation);
        }
    }
    std::map<const Suspect*, std::size_t> crashes;
    for (const Suspect& suspect : this->suspects) {
        std::size_t& most = crashes[&suspect];
        for (const PromptPartId& part : suspect.prompt.parts) {
            const auto found = crashed.find({ suspect.prompt.service, part });
            if (found != crashed.end() && !this->isCleared(suspect, part))
                most = std::max(most, found->second.size());
        }
    }
    return crashes;
}

void PromptQuarantine::dropLeastUseful()
{
    const std::map<const Suspect*, std::size_t> crashes = this->countCrashes();
    std::vector<std::size_t> counts;
    counts.reserve(crashes.size());
    for (const auto& [suspect, count] : crashes)
        counts.push_back(count);
    const auto last = counts.begin() + static_cast<std::ptrdiff_t>(std::min(droppedAtOnce, counts.size()) - 1);
    std::nth_element(counts.begin(), last, counts.end());
    const std::size_t below = *last;
    std::size_t left = droppedAtOnce;
    std::deque<Suspect> kept;
    for (const Suspect& suspect : this->suspects) {
        if (crashes.at(&suspect) < below)
            --left;
    }
    // Of those that are equally useful, the oldest ones.
    for (Suspect& suspect : this->suspects) {
        const std::size_t count = crashes.at(&suspect);
        if (count > below || (count == below && left == 0))
            kept.push_back(std::move(suspect));
        else if (count == below)
            --left;
    }
    this->suspects = std::move(kept);
}

bool PromptQuarantine::hasBegunAnswerBeside(const Suspect& suspect) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&suspect](const Suspect& other) {
        return other.progress == SuspectProgress::Begun && other.incarnation == suspect.incarnation;
    });
}

bool PromptQuarantine::isExplained(const Suspect& suspect, const PromptPartId& part) const
{
    // That a whole request is kept back does not tell whether one of its parts crashes upstreams in other requests,
    // too.
    const bool isRequest = isRequestIdentity(part);
    const bool isQuarantined = std::any_of(this->quarantines.begin(), this->quarantines.end(), [&](const auto& entry) {
        return entry.first.service == suspect.prompt.service && (isRequest || !isOfRequest(entry.first))
            && containsAll(suspect.prompt.parts, entry.first.parts);
    });
    if (isQuarantined || isRequest || suspect.progress != SuspectProgress::Waiting)
        return isQuarantined;
    return this->hasBegunAnswerBeside(suspect);
}

double PromptQuarantine::getWeight(const Suspect& suspect, const PromptPartId& part) const
{
    const bool isAlone = isRequestIdentity(part) && suspect.progress == SuspectProgress::Waiting
        && !this->hasBegunAnswerBeside(suspect);
    return isAlone || suspect.progress == SuspectProgress::Begun ? begunAnswerWeight : sharedWeight;
}

bool PromptQuarantine::isLikelyCause(const ServiceId& service, const PromptPartId& request) const
{
    return this->weigh(service, request).weight >= likelyWeight;
}

std::optional<PromptPartId> PromptQuarantine::findKnownIdentity(
    const ServiceId& service, const RequestIdentity& request, const WorkspaceId& caller) const
{
    if (this->suspects.empty() && this->quarantines.empty())
        return std::nullopt;
    const std::string beginning = request.makeBeginning(caller);
    const auto mayHaveIt = [&](const PromptSignature& prompt) {
        return prompt.service == service
            && std::any_of(prompt.parts.begin(), prompt.parts.end(),
                [&beginning](const PromptPartId& part) { return part.string().starts_with(beginning); });
    };
    const bool isKnown = std::any_of(this->suspects.begin(), this->suspects.end(),
                             [&](const Suspect& suspect) { return mayHaveIt(suspect.prompt); })
        || std::any_of(this->quarantines.begin(), this->quarantines.end(),
            [&](const auto& entry) { return mayHaveIt(entry.first); });
    return isKnown ? std::optional(request.make(caller)) : std::nullopt;
}

PromptQuarantine::Evidence PromptQuarantine::weigh(const ServiceId& service, const PromptPartId& part) const
{
    const bool isRequest = isRequestIdentity(part);
    std::vector<const Suspect*> found;
    for (const Suspect& suspect : this->suspects) {
        const bool hasPart = suspect.prompt.service == service
            && std::binary_search(suspect.prompt.parts.begin(), suspect.prompt.parts.end(), part);
        if (hasPart && !this->isCleared(suspect, part) && !this->isExplained(suspect, part))
            found.push_back(&suspect);
    }
    std::sort(found.begin(), found.end(),
        [](const Suspect* left, const Suspect* right) { return left->crashedAt < right->crashedAt; });
    Evidence evidence;
    if (!found.empty())
        evidence.since = found.front()->crashedAt;
    std::map<std::string, double> weights; /**< Of the incarnations; 0 if the crash counts with another one. */
    std::optional<Milliseconds> countedAt;
    for (const Suspect* suspect : found) {
        evidence.commonParts
            = countedAt ? intersect(evidence.commonParts, suspect->prompt.parts) : suspect->prompt.parts;
        const double weight = this->getWeight(*suspect, part);
        const bool isSimultaneous = countedAt && suspect->crashedAt - *countedAt < simultaneousCrashes;
        const auto [counted, isNew] = weights.try_emplace(suspect->incarnation, 0);
        // What happened to one request at two upstreams did not happen at the same time.
        const bool isOwnCrash = (suspect->isRepeat && (isRequest || suspect->progress != SuspectProgress::Waiting))
            || (isNew && !isSimultaneous);
        if (isOwnCrash && isNew)
            countedAt = suspect->crashedAt;
        if (isOwnCrash || counted->second > 0)
            counted->second = std::max(counted->second, weight);
    }
    for (const auto& [incarnation, weight] : weights)
        evidence.weight += weight;
    if (isRequest) {
        evidence.commonParts = { part };
        return evidence;
    }
    std::erase_if(evidence.commonParts, isRequestIdentity);
    std::set<PromptPartId> requests;
    for (const Suspect* suspect : found)
        requests.insert(findIdentity(suspect->prompt));
    // The request itself is blamed then, and none of the parts that it shares with others.
    if (requests.size() == 1 && !requests.begin()->isEmpty())
        evidence.weight = 0;
    return evidence;
}

void PromptQuarantine::judge(Milliseconds now, const PromptSignature& latest)
{
    // The most parts in common refuse the fewest prompts.
    Evidence cause;
    for (const PromptPartId& part : latest.parts) {
        Evidence evidence = this->weigh(latest.service, part);
        if (evidence.weight < requiredWeight)
            continue;
        if (isRequestIdentity(part))
            this->start(now, evidence.since, { latest.service, { part } }, quarantinecauses::crashes);
        else if (evidence.commonParts.size() > cause.commonParts.size())
            cause = std::move(evidence);
    }
    if (!cause.commonParts.empty())
        this->start(now, cause.since, { latest.service, cause.commonParts }, quarantinecauses::crashes);
}

void PromptQuarantine::start(
    Milliseconds beganAt, Milliseconds blamedSince, const PromptSignature& prompt, std::string_view cause)
{
    PromptSignature unanswered = prompt;
    std::erase_if(unanswered.parts, [&](const PromptPartId& part) {
        const std::optional<Milliseconds> answered = this->findAnswered(prompt.service, part);
        const bool isRefuted = answered && *answered >= blamedSince;
        if (isRefuted)
            this->refuted[{ prompt.service, part }] = std::max(*answered, beganAt);
        return isRefuted;
    });
    if (unanswered.parts.empty() || !this->hasRoomFor(unanswered))
        return;
    const bool isStored = cause == quarantinecauses::store;
    const bool isOwn = !isStored && cause != quarantinecauses::otherVm;
    const auto [entry, isNew] = this->quarantines.try_emplace(
        unanswered, Quarantine { beganAt, blamedSince, isStored, isOwn, getUnconfirmedDuration(unanswered) });
    entry->second.isConfirmed = entry->second.isConfirmed || isStored;
    if (!isNew)
        return;
    this->changes.push_back({ unanswered, QuarantineStep::Began, cause });
    const auto answered = this->serviceAnsweredAt.find(prompt.service);
    if (answered != this->serviceAnsweredAt.end() && answered->second >= beganAt)
        this->confirm(entry->first, entry->second);
}

bool PromptQuarantine::hasRoomFor(const PromptSignature& prompt) const
{
    const auto count = std::count_if(this->quarantines.begin(), this->quarantines.end(),
        [&prompt](const auto& entry) { return isOfRequest(entry.first) == isOfRequest(prompt); });
    return static_cast<std::size_t>(count) < maximumQuarantines;
}

Milliseconds PromptQuarantine::getRemaining(
    Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts) const
{
    Milliseconds remaining;
    for (const auto& [prompt, quarantine] : this->quarantines) {
        if (prompt.service == service && containsAll(parts, prompt.parts))
            remaining = std::max(remaining, quarantine.getEnd() - now);
    }
    return remaining;
}

PromptParts PromptQuarantine::findUnproven(
    Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts) const
{
    PromptParts unproven;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unproven), [&](const PromptPartId& part) {
        const std::optional<Milliseconds> answered = this->findAnswered(service, part);
        return !answered || now - *answered > harmlessMemory;
    });
    return unproven;
}

std::set<ServiceId> PromptQuarantine::getQuarantinedServices() const
{
    std::set<ServiceId> services;
    for (const auto& [prompt, quarantine] : this->quarantines)
        services.insert(prompt.service);
    return services;
}

std::vector<const PromptQuarantine::Suspect*> PromptQuarantine::chooseForExchange(Milliseconds now) const
{
    std::vector<const Suspect*> chosen;
    for (const Suspect& suspect : this->suspects) {
        const bool isExplained = std::all_of(suspect.prompt.parts.begin(), suspect.prompt.parts.end(),
            [&](const PromptPartId& part) { return this->isExplained(suspect, part); });
        if (now - suspect.crashedAt <= exchangeTime && !isExplained)
            chosen.push_back(&suspect);
    }
    std::reverse(chosen.begin(), chosen.end());
    if (chosen.size() <= maximumExchangedSuspects)
        return chosen;
    // A part is the more suspicious the more upstreams crashed under it. Many wait at an upstream, few answers begin.
    const std::map<const Suspect*, std::size_t> crashes = this->countCrashes();
    const auto getRank = [&crashes](const Suspect* suspect) {
        return std::pair(crashes.at(suspect), suspect->progress == SuspectProgress::Begun);
    };
    std::stable_sort(chosen.begin(), chosen.end(),
        [&](const Suspect* left, const Suspect* right) { return getRank(left) > getRank(right); });
    chosen.resize(maximumExchangedSuspects);
    return chosen;
}

CrashEvidence PromptQuarantine::makeEvidence(Milliseconds now) const
{
    CrashEvidence evidence;
    std::set<std::pair<ServiceId, PromptPartId>> parts;
    const auto addParts = [&parts](const PromptSignature& prompt) {
        for (const PromptPartId& part : prompt.parts)
            parts.emplace(prompt.service, part);
    };
    for (const Suspect* suspect : this->chooseForExchange(now)) {
        evidence.suspects.push_back(
            { suspect->incarnation, suspect->prompt, suspect->progress, now - suspect->crashedAt, suspect->isRepeat });
        addParts(suspect->prompt);
    }
    std::size_t unconfirmed = 0;
    for (const auto& [prompt, quarantine] : this->quarantines) {
        // The store lacks the unconfirmed ones, and VMs that start or come back later may not have heard of them.
        const bool isOld = now - quarantine.beganAt > exchangeTime;
        if (isOld && (quarantine.isConfirmed || ++unconfirmed > maximumExchangedUnconfirmed))
            continue;
        evidence.quarantined.push_back({ prompt, now - quarantine.beganAt, now - quarantine.blamedSince });
        addParts(prompt);
    }
    for (const auto& [part, at] : this->refuted)
        parts.insert(part);
    for (const ServiceId& service : this->getQuarantinedServices()) {
        const auto answered = this->serviceAnsweredAt.find(service);
        if (answered != this->serviceAnsweredAt.end() && now - answered->second <= exchangeTime)
            evidence.answering.push_back({ service, now - answered->second });
    }
    for (const auto& [service, part] : parts) {
        const std::optional<Milliseconds> answered = this->findAnswered(service, part);
        const bool isRefuted = this->refuted.contains({ service, part });
        if (answered && (isRefuted || now - *answered <= harmlessMemory))
            evidence.answered.push_back({ service, part, now - *answered });
    }
    return evidence;
}

void PromptQuarantine::noteEvidence(Milliseconds now, const CrashEvidence& evidence)
{
    for (const AnsweredPart& answered : evidence.answered)
        this->mergeAnswered(now - answered.age, answered.service, answered.part);
    for (const QuarantinedPrompt& quarantined : evidence.quarantined) {
        if (quarantined.age < getUnconfirmedDuration(quarantined.prompt))
            this->start(now - quarantined.age, now - std::max(quarantined.age, quarantined.blamedFor),
                quarantined.prompt, quarantinecauses::otherVm);
    }
    for (const AnsweringService& answering : evidence.answering)
        this->mergeServiceAnswer(now - answering.age, answering.service);
    for (const CrashSuspect& suspect : evidence.suspects)
        this->addSuspect(
            now, { suspect.incarnation, suspect.prompt, suspect.progress, now - suspect.age, suspect.isRepeat });
}

void PromptQuarantine::begin(Milliseconds now, const PromptSignature& prompt)
{
    this->start(now, now, prompt, quarantinecauses::store);
}

void PromptQuarantine::end(const PromptSignature& prompt, std::string_view cause)
{
    if (this->quarantines.erase(prompt) > 0)
        this->changes.push_back({ prompt, QuarantineStep::Ended, cause });
}

void PromptQuarantine::expire(Milliseconds now)
{
    std::erase_if(this->quarantines, [&](const auto& entry) {
        const bool isOver = now >= entry.second.getEnd();
        const auto cause = entry.second.isConfirmed ? quarantinecauses::expired : quarantinecauses::unconfirmed;
        if (isOver)
            this->changes.push_back({ entry.first, QuarantineStep::Ended, cause });
        return isOver;
    });
    std::erase_if(this->refuted, [now](const auto& entry) { return now - entry.second > exchangeTime; });
    std::erase_if(this->suspects, [now](const Suspect& suspect) { return now - suspect.crashedAt > suspectLifetime; });
}

std::vector<QuarantinedPrompt> PromptQuarantine::getAll(Milliseconds now) const
{
    std::vector<QuarantinedPrompt> all;
    for (const auto& [prompt, quarantine] : this->quarantines)
        all.push_back({ prompt, now - quarantine.beganAt, now - quarantine.blamedSince });
    return all;
}

std::vector<QuarantineChange> PromptQuarantine::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace papayashelf
