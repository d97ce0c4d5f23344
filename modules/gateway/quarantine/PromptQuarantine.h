#pragma once

#include "foundation/time/Clock.h"
#include "gateway/quarantine/CrashEvidence.h"
#include "gateway/quarantine/RequestIdentity.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace papayashelf {

/** Stable names of why a quarantine began or ended. */
namespace quarantinecauses {
constexpr std::string_view crashes = "crashes"; /**< Upstreams crashed under such prompts. */
constexpr std::string_view otherVm = "other_vm"; /**< Another VM reported it. */
constexpr std::string_view store = "store"; /**< It was read in the store, or was removed there. */
constexpr std::string_view narrowed = "narrowed"; /**< Fewer parts took the place of more. */
constexpr std::string_view answered = "answered"; /**< Each of its parts turned out to be harmless. */
constexpr std::string_view answersToOthers = "answers_to_others"; /**< The service answers other prompts. */
constexpr std::string_view expired = "expired";
constexpr std::string_view unconfirmed = "unconfirmed"; /**< The service answered no prompt at all. */
} // namespace quarantinecauses

/** What happened to a quarantine. */
enum class QuarantineStep {
    Began,
    Confirmed, /**< The service answers other prompts, so its upstreams crash because of this one. */
    Ended,
};

/** A step of a quarantine at this VM. */
struct QuarantineChange {
    PromptSignature prompt;
    QuarantineStep step = QuarantineStep::Began;
    std::string_view cause; /**< One of quarantinecauses. */

    bool operator==(const QuarantineChange&) const = default;
};

/**
    Finds the prompts that crash upstreams, and keeps them from all upstreams.

    A crash has suspects: the requests whose answer had begun, but had no event yet, or else those that still waited,
    and in any case those whose answer was streaming. A part that is among the suspects of several crashes in a row,
    with no answer completed in between, is the cause. Which of the parts that those requests have in common it is may
    stay open, so prompts with all of these parts are quarantined. Prompts with only some of them go on being served,
    and show which parts are harmless.

    A service that answers no prompt at all may be faulty itself, and then all its prompts may have the part. Until it
    answers another prompt, a quarantine is unconfirmed and lasts only for unconfirmedDuration.

    A request may crash upstreams as a whole, whatever its prompt, and also without one. Its RequestIdentity is one more
    part, which no other request has: three crashes under it are enough even if no answer had begun, unless another
    answer had begun at the same upstream. Any completed answer to it, error answers too, shows that it is harmless.

    Each VM sees few crashes, so VMs exchange suspects, completed answers and quarantines. Merging the same evidence
    again, late or in another order changes nothing.

    Load pattern: requests with one part in common arrive at any VM and crash each engine that answers them, among
    requests of the same callers that share all their other parts.
    Times must not decrease from one call to the next. Thread safety: none; owned by one thread.
*/
class PromptQuarantine {
public:
    static constexpr Milliseconds duration { 600'000 }; /**< After this a prompt is tried again: engines get mended. */
    /** Several restarts of an upstream, so that crashes stay rare if the prompt is the cause after all. */
    static constexpr Milliseconds unconfirmedDuration { 30'000 };
    /** For whole requests, which keep no others back. All upstreams of a small service may have crashed. */
    static constexpr Milliseconds unconfirmedRequestDuration { 150'000 };

    /** Records that an upstream completed an answer to a prompt. @param parts  sorted; may be empty */
    void noteAnswered(Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts);

    /** Records that an upstream completed an answer of any status to a request. @param request  its identity */
    void noteRequestAnswered(Milliseconds now, const ServiceId& service, const PromptPartId& request);

    /** Records a suspect of a crash. Its age is ignored: the crash is taken to have happened now. */
    void noteSuspect(Milliseconds now, const CrashSuspect& suspect);

    /** Returns the time until the prompt may be sent to upstreams; 0 if it is not quarantined. @param parts  sorted */
    Milliseconds getRemaining(Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts) const;

    /** Returns the parts with which no answer was recently completed. @param parts  sorted */
    PromptParts findUnproven(Milliseconds now, const ServiceId& service, std::span<const PromptPartId> parts) const;

    /**
        Returns the identity of a request if a suspect or a quarantine may have it. Others need not be recorded or
        compared, so the bodies of most requests are not read.
    */
    std::optional<PromptPartId> findKnownIdentity(
        const ServiceId& service, const RequestIdentity& request, const WorkspaceId& caller) const;

    /** Whether so many upstreams crashed under a request that another attempt would probably crash one more. */
    bool isLikelyCause(const ServiceId& service, const PromptPartId& request) const;

    //==================================================================================================================
    /** Returns the recent evidence, for another VM. */
    CrashEvidence makeEvidence(Milliseconds now) const;

    /** Merges the evidence of another VM. */
    void noteEvidence(Milliseconds now, const CrashEvidence& evidence);

    /** Begins a quarantine that another VM stored, which is a confirmed one. */
    void begin(Milliseconds now, const PromptSignature& prompt);

    /** Ends a quarantine. @param cause  stable name for the log */
    void end(const PromptSignature& prompt, std::string_view cause);

    /** Ends the quarantines whose time is over and forgets old evidence. */
    void expire(Milliseconds now);

    /** Returns the quarantined prompts, with the time since each quarantine began. */
    std::vector<QuarantinedPrompt> getAll(Milliseconds now) const;

    /** Returns the changes since the last call. */
    std::vector<QuarantineChange> takeChanges();

private:
    struct Suspect {
        std::string incarnation;
        PromptSignature prompt;
        SuspectProgress progress = SuspectProgress::Waiting;
        Milliseconds crashedAt;
        bool isRepeat = false;
    };

    struct Quarantine {
        Milliseconds beganAt;
        Milliseconds blamedSince; /**< Time of the first crash that counts against the prompt. */
        bool isConfirmed = false;
        bool isOwn = false; /**< Whether this VM found it, and neither another VM nor the store. */

        Milliseconds unconfirmedFor = unconfirmedDuration;

        Milliseconds getEnd() const { return this->beganAt + (this->isConfirmed ? duration : this->unconfirmedFor); }
    };

    struct Evidence {
        double weight = 0;
        PromptParts commonParts;
        Milliseconds since; /**< Time of the first crash; meaningless without weight. */
    };

    void addSuspect(Milliseconds now, const Suspect& suspect);
    void mergeAnswered(Milliseconds at, const ServiceId& service, const PromptPartId& part);
    void judge(Milliseconds now, const PromptSignature& latest);
    Evidence weigh(const ServiceId& service, const PromptPartId& part) const;
    std::set<ServiceId> getQuarantinedServices() const;
    /** Whether a quarantine or another suspect explains the crash, so that it does not count against the part. */
    bool isExplained(const Suspect& suspect, const PromptPartId& part) const;
    /** Whether the answer to a request had begun at the suspect's upstream. */
    bool hasBegunAnswerBeside(const Suspect& suspect) const;
    double getWeight(const Suspect& suspect, const PromptPartId& part) const;
    /** Returns the number of upstreams that crashed under the suspect part of each suspect with most crashes. */
    std::map<const Suspect*, std::size_t> countCrashes() const;
    /** Whether an answer was completed with the part after the suspect's crash. */
    bool isCleared(const Suspect& suspect, const PromptPartId& part) const;
    /** Removes suspects that can no longer be blamed, then those under which fewest upstreams crashed. */
    void dropLeastUseful();
    /** Whether there are as many quarantines of the kind, of whole requests or of prompts, as there may be. */
    bool hasRoomFor(const PromptSignature& prompt) const;
    /** Returns the recent unexplained suspects that other VMs need most, as many as a message may hold. */
    std::vector<const Suspect*> chooseForExchange(Milliseconds now) const;
    std::optional<Milliseconds> findAnswered(const ServiceId& service, const PromptPartId& part) const;
    void start(Milliseconds beganAt, Milliseconds blamedSince, const PromptSignature& prompt, std::string_view cause);
    /** Records an answer of the service to any prompt. */
    void mergeServiceAnswer(Milliseconds at, const ServiceId& service);
    void confirm(const PromptSignature& prompt, Quarantine& quarantine);
    void acquit(Milliseconds at, const ServiceId& service, const PromptPartId& part);

    std::deque<Suspect> suspects; /**< In the order in which this VM learned of them. */
    std::map<PromptSignature, Quarantine> quarantines;
    std::unordered_map<ServiceId, Milliseconds> serviceAnsweredAt; /**< Time of each service's last answer. */
    std::unordered_map<ServiceId, std::unordered_map<PromptPartId, Milliseconds>> answeredAt;
    /** Blamed parts that turned out to be harmless, with the time of the blame; other VMs may still blame them. */
    std::map<std::pair<ServiceId, PromptPartId>, Milliseconds> refuted;
    std::vector<QuarantineChange> changes;
};

} // namespace papayashelf
