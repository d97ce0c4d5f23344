#pragma once

#include "foundation/time/Clock.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

namespace papayashelf {

/** The quantiles of one latency, in milliseconds. All 0 while the count is. */
struct LatencyFigures {
    std::uint64_t count = 0;
    double meanMilliseconds = 0;
    double medianMilliseconds = 0;
    double p99Milliseconds = 0;
    double longestMilliseconds = 0;

    bool operator==(const LatencyFigures&) const = default;
};

/**
    Estimates quantiles of a latency in constant memory by the P-square method.

    Thread safety: none; owned by one thread.
*/
class LatencySummary {
public:
    LatencySummary()
        : p99(boost::accumulators::quantile_probability = 0.99)
    {
    }

    /** Adds one measurement. */
    void add(Milliseconds latency)
    {
        const auto milliseconds = static_cast<double>(latency.count());
        this->basics(milliseconds);
        this->p99(milliseconds);
    }

    /** The figures over all measurements so far. */
    LatencyFigures getFigures() const
    {
        namespace accumulators = boost::accumulators;
        const std::uint64_t count = accumulators::count(this->basics);
        if (count == 0)
            return {};
        return LatencyFigures { count, accumulators::mean(this->basics), accumulators::p_square_quantile(this->basics),
            accumulators::p_square_quantile(this->p99), accumulators::max(this->basics) };
    }

private:
    using Basics = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::mean,
            boost::accumulators::tag::max, boost::accumulators::tag::p_square_quantile>>;
    using Quantile = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

    Basics basics;
    Quantile p99;
};

} // namespace papayashelf
