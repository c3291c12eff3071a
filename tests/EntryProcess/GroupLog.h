#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Lavendervane::EntryProcess {

using Clock = std::chrono::steady_clock;

/// Log of a group of endpoints: the times of its commits.
class GroupLog {
public:
    /// Returns the position of the commit.
    uint64_t commit()
    {
        this->commits.push_back(Clock::now());
        return this->commits.size();
    }

    /// Returns the position of the last commit that was made at least `lag` ago.
    uint64_t positionAfter(Clock::duration lag) const
    {
        const auto end = std::upper_bound(this->commits.begin(), this->commits.end(), Clock::now() - lag);
        return static_cast<uint64_t>(end - this->commits.begin());
    }

private:
    std::vector<Clock::time_point> commits;
};

} // namespace Lavendervane::EntryProcess
