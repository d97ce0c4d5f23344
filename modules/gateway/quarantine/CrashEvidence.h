#pragma once

#include "foundation/time/Clock.h"
#include "gateway/quarantine/PromptParts.h"
#include <string>
#include <vector>

namespace papayashelf {

/** How much of the answer to a request had arrived when its upstream crashed. The numbers are part of the messages. */
enum class SuspectProgress {
    Waiting = 0, /**< Nothing. */
    Begun = 1, /**< The head, but no complete event. */
    Streaming = 2, /**< At least one complete event. */
};

/** A request that was at an upstream when that upstream crashed. */
struct CrashSuspect {
    std::string incarnation; /**< The upstream and its start; each incarnation crashes once. */
    PromptSignature prompt;
    SuspectProgress progress = SuspectProgress::Waiting;
    Milliseconds age; /**< Time since the crash. */
    /** Whether another upstream had crashed under the request before this one answered it. */
    bool isRepeat = false;

    bool operator==(const CrashSuspect&) const = default;
};

/** A prompt part with which an upstream completed an answer. */
struct AnsweredPart {
    ServiceId service;
    PromptPartId part;
    Milliseconds age; /**< Time since the last such answer. */

    bool operator==(const AnsweredPart&) const = default;
};

/** A service that has a quarantined prompt and completed an answer to another one. */
struct AnsweringService {
    ServiceId service;
    Milliseconds age; /**< Time since its last answer. */

    bool operator==(const AnsweringService&) const = default;
};

/** Prompts that receive no upstream: those that contain all parts of the signature. */
struct QuarantinedPrompt {
    PromptSignature prompt;
    Milliseconds age; /**< Time since the quarantine began. */
    Milliseconds blamedFor; /**< Time since the first crash that counts against it; an answer since then ends it. */

    bool operator==(const QuarantinedPrompt&) const = default;
};

/** What one VM tells another of crashes under requests. Ages count from the sending of the message. */
struct CrashEvidence {
    std::vector<CrashSuspect> suspects;
    std::vector<AnsweredPart> answered; /**< Only of parts of the suspects and quarantined prompts. */
    std::vector<QuarantinedPrompt> quarantined;
    std::vector<AnsweringService> answering;

    bool isEmpty() const
    {
        return this->suspects.empty() && this->answered.empty() && this->quarantined.empty() && this->answering.empty();
    }

    bool operator==(const CrashEvidence&) const = default;
};

} // namespace papayashelf
