#include "configuration/storage/RevisionChange.h"

#include "configuration/storage/RevisionDigest.h"

#include <map>
#include <optional>

namespace papayashelf {

RevisionDelta makeDelta(const Revision& from, const Revision& to)
{
    RevisionDelta delta { from.number, to.number, to.digest, {}, {} };
    auto old = from.documents.begin();
    for (const auto& [path, body] : to.documents) {
        for (; old != from.documents.end() && old->first < path; ++old)
            delta.removed.push_back(old->first);
        const bool isInBoth = old != from.documents.end() && old->first == path;
        if (!isInBoth || old->second != body)
            delta.changed.push_back({ path, body });
        if (isInBoth)
            ++old;
    }
    for (; old != from.documents.end(); ++old)
        delta.removed.push_back(old->first);
    return delta;
}

RevisionDelta makeFullDelta(const Revision& revision)
{
    RevisionDelta delta { 0, revision.number, revision.digest, {}, {} };
    delta.changed.reserve(revision.documents.size());
    for (const auto& [path, body] : revision.documents)
        delta.changed.push_back({ path, body });
    return delta;
}

RevisionDelta mergeDeltas(const RevisionDelta& first, const RevisionDelta& second)
{
    std::map<std::string, std::optional<std::string>> bodies;
    for (const RevisionDelta* delta : { &first, &second }) {
        for (const Document& document : delta->changed)
            bodies[document.path] = document.body;
        for (const std::string& path : delta->removed)
            bodies[path] = std::nullopt;
    }
    RevisionDelta merged { first.from, second.to, second.digest, {}, {} };
    for (auto& [path, body] : bodies) {
        if (body)
            merged.changed.push_back({ path, std::move(*body) });
        else
            merged.removed.push_back(path);
    }
    return merged;
}

Outcome<Revision> applyDelta(const Revision& base, const RevisionDelta& delta)
{
    if (delta.from != 0 && delta.from != base.number)
        return Error { ErrorCode::Conflict,
            "the delta does not apply to the base; it starts from revision " + std::to_string(delta.from) };
    Revision revision { delta.to, delta.digest, {} };
    if (delta.from != 0)
        revision.documents = base.documents;
    for (const Document& document : delta.changed)
        revision.documents[document.path] = document.body;
    for (const std::string& path : delta.removed)
        revision.documents.erase(path);
    if (digestOf(revision.documents) != delta.digest)
        return Error { ErrorCode::Damaged, "revision " + std::to_string(delta.to) + " does not match its digest" };
    return revision;
}

} // namespace papayashelf
