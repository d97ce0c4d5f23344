#pragma once

#include "foundation/hashing/StableHash.h"
#include "model/governance/Governance.h"
#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace papayashelf::measure {

/** One deployment's size. */
struct Deployment {
    std::string name;
    std::vector<std::string> regions;
    std::vector<int> engines; /**< Model engines of each region. */
    double linkMegabits = 0;
};

inline const std::vector<Deployment> deployments {
    { "trial_entries", { "altiplano", "verapaz", "oriente" }, { 6, 4, 2 }, 2000 },
    { "espejo", { "bilbao", "oviedo", "santander" }, { 9, 6, 3 }, 120 },
};

constexpr Milliseconds dayLength { 600'000 };
constexpr Milliseconds noiseFrom { 150'000 };
constexpr Milliseconds noiseTo { 250'000 };
constexpr std::size_t noisyWorkspace = 3;
constexpr double noiseFactor = 5;
constexpr std::size_t boundWorkspace = 4;
constexpr Milliseconds requestTimeout { 30'000 };
constexpr std::size_t tokensPerAnswer = 100;
const std::vector<double> workspaceParts { 0.36, 0.24, 0.10, 0.12, 0.18 };

/** One request as a caller makes it. */
struct Call {
    Milliseconds at;
    std::size_t region = 0;
    std::size_t workspace = 0;
    bool isPlain = false;
    bool isExcess = false; /**< Beyond its workspace's rate. */
    std::int64_t promptTokens = 0;
    std::int64_t answerTokens = 0;
    std::vector<std::uint64_t> blocks;
};

/** A day of calls: peaks offset between regions, talks that grow turn by turn, one workspace at five times its rate. */
class Trace {
public:
    Trace(const Deployment& deployment, std::uint64_t seed, double callsPerEngineSecond)
        : random(seed)
    {
        for (std::size_t region = 0; region < deployment.regions.size(); ++region) {
            const double rate = callsPerEngineSecond * deployment.engines[region];
            for (std::size_t workspace = 0; workspace < workspaceParts.size(); ++workspace)
                this->addStream(region, workspace, rate * workspaceParts[workspace]);
        }
        std::stable_sort(this->calls.begin(), this->calls.end(),
            [](const Call& left, const Call& right) { return left.at < right.at; });
    }

    std::vector<Call> calls;

private:
    void addStream(std::size_t region, std::size_t workspace, double rate)
    {
        constexpr double peakOverMean = 0.6;
        constexpr double regions = 3;
        const double highest = rate * (1 + peakOverMean) * noiseFactor;
        std::exponential_distribution<double> gap(highest / 1000);
        std::uniform_real_distribution<double> part(0, 1);
        for (double at = gap(this->random); at < static_cast<double>(dayLength.count()); at += gap(this->random)) {
            const double phase = at / static_cast<double>(dayLength.count()) + static_cast<double>(region) / regions;
            const double entitled = rate * (1 + peakOverMean * std::sin(phase * 2 * M_PI));
            const bool isNoisy = workspace == noisyWorkspace && at >= static_cast<double>(noiseFrom.count())
                && at < static_cast<double>(noiseTo.count());
            const double draw = part(this->random) * highest;
            if (draw < entitled || (isNoisy && draw < entitled * noiseFactor))
                this->addCall(Milliseconds(std::llround(at)), region, workspace, draw >= entitled);
        }
    }

    void addCall(Milliseconds at, std::size_t region, std::size_t workspace, bool isExcess)
    {
        constexpr std::uint64_t plainOneIn = 10;
        constexpr std::uint64_t talksAtOnce = 24;
        constexpr std::size_t sharedBlocks = 5;
        constexpr std::size_t turns = 6;
        constexpr std::size_t blocksPerTurn = 3;
        Call call;
        call.at = at;
        call.region = region;
        call.workspace = workspace;
        call.isExcess = isExcess;
        call.isPlain = this->random() % plainOneIn == 0;
        if (!call.isPlain) {
            auto& talk = this->talks[region * workspaceParts.size() + workspace][this->random() % talksAtOnce];
            if (talk.turn == 0)
                talk.seed = this->random();
            const std::size_t blocks = sharedBlocks + blocksPerTurn * (talk.turn + 1);
            for (std::size_t block = 0; block < blocks; ++block) {
                const std::uint64_t owner = block < sharedBlocks ? workspace : talk.seed;
                call.blocks.push_back(combineHashes(stableHash("block", owner), block + 1));
            }
            call.promptTokens = static_cast<std::int64_t>(blocks) * 64;
            talk.turn = (talk.turn + 1) % turns;
        }
        call.answerTokens = call.isPlain ? 1 : static_cast<std::int64_t>(tokensPerAnswer / 2 + this->random() % 100);
        this->calls.push_back(std::move(call));
    }

    struct Talk {
        std::uint64_t seed = 0;
        std::size_t turn = 0;
    };

    std::mt19937_64 random;
    std::map<std::size_t, std::map<std::uint64_t, Talk>> talks;
};

} // namespace papayashelf::measure
