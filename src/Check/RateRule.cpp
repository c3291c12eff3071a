#include "Check/RateRule.h"

#include <algorithm>
#include <limits>

namespace Lavendervane {

namespace {

/// Segment tree with lazy addition: adds one to any prefix of the values and finds the maximum of the active values.
class PrefixMaximum {
public:
    explicit PrefixMaximum(const std::vector<double>& values)
        : values(values)
        , size(values.size())
        , nodes(4 * values.size())
    {
    }

    /// Adds one to the values with an index of at most `last`, activated or not.
    void raise(size_t last) { this->raise(1, 0, this->size - 1, last); }

    /// Includes the value in the maximum; inactive values are ignored.
    void activate(size_t index) { this->activate(1, 0, this->size - 1, index); }

    double maximum() const { return this->nodes[1].maximum; }

    size_t indexOfMaximum() const { return this->nodes[1].index; }

private:
    struct Node {
        double maximum = -std::numeric_limits<double>::infinity();
        size_t index = 0;
        double pending = 0; ///< added to all values below the node, not yet to the child nodes
    };

    void activate(size_t node, size_t from, size_t to, size_t index)
    {
        if (from == to) {
            this->nodes[node].maximum = this->values[index] + this->nodes[node].pending;
            this->nodes[node].index = index;
            return;
        }
        const size_t middle = (from + to) / 2;
        if (index <= middle)
            this->activate(2 * node, from, middle, index);
        else
            this->activate(2 * node + 1, middle + 1, to, index);
        this->combine(node);
    }

    void raise(size_t node, size_t from, size_t to, size_t last)
    {
        if (to <= last) {
            this->nodes[node].maximum += 1;
            this->nodes[node].pending += 1;
            return;
        }
        const size_t middle = (from + to) / 2;
        this->raise(2 * node, from, middle, last);
        if (last > middle)
            this->raise(2 * node + 1, middle + 1, to, last);
        this->combine(node);
    }

    void combine(size_t node)
    {
        const Node& left = this->nodes[2 * node];
        const Node& right = this->nodes[2 * node + 1];
        const Node& larger = right.maximum > left.maximum ? right : left;
        this->nodes[node].maximum = larger.maximum + this->nodes[node].pending;
        this->nodes[node].index = larger.index;
    }

    const std::vector<double>& values;
    size_t size;
    std::vector<Node> nodes;
};

double toSeconds(int64_t nanoseconds) { return static_cast<double>(nanoseconds) / 1e9; }

// A window from the start a of a request to the end b of a request must satisfy count - rate * (b - a) <= burst. The
// tree holds count + rate * a for every a, while the ends b are visited in ascending order. Only requests that ended by
// b are active as window starts: a window that starts with a later-ending request has the same count as the shorter
// window that starts with the next request, so it need not be checked.
void checkOrganisation(const std::string& organisation, const HistoryLimit& limit,
    std::vector<const HistoryEvent*> events, std::vector<Violation>& violations)
{
    std::sort(
        events.begin(), events.end(), [](const auto* left, const auto* right) { return left->start < right->start; });
    const int64_t origin = events.front()->start;
    std::vector<double> starts;
    std::vector<size_t> byEnd;
    for (size_t index = 0; index < events.size(); ++index) {
        starts.push_back(limit.rate * toSeconds(events[index]->start - origin));
        byEnd.push_back(index);
    }
    std::sort(
        byEnd.begin(), byEnd.end(), [&](size_t left, size_t right) { return events[left]->end < events[right]->end; });

    PrefixMaximum tree(starts);
    for (const size_t index : byEnd) {
        tree.raise(index);
        tree.activate(index);
        const HistoryEvent& last = *events[index];
        constexpr double roundingTolerance = 1e-6; // requests; covers rounding errors in the floating-point sums
        if (tree.maximum() - limit.rate * toSeconds(last.end - origin) <= limit.burst + roundingTolerance)
            continue;
        const HistoryEvent& first = *events[tree.indexOfMaximum()];
        violations.push_back({ "rate_exceeded",
            "organisation " + organisation + " had more than " + std::to_string(limit.burst) + " + "
                + std::to_string(limit.rate) + "/s requests admitted in a window of "
                + std::to_string(toSeconds(last.end - first.start)) + " s",
            { first.line, last.line } });
        return;
    }
}

} // namespace

std::vector<Violation> checkRates(const History& history)
{
    std::vector<Violation> violations;
    for (const auto& [organisation, limit] : history.limits) {
        std::vector<const HistoryEvent*> admitted;
        for (const HistoryEvent& event : history.events) {
            if (event.organisation == organisation && event.outcome == Outcome::Done)
                admitted.push_back(&event);
        }
        if (!admitted.empty())
            checkOrganisation(organisation, limit, std::move(admitted), violations);
    }
    return violations;
}

} // namespace Lavendervane
