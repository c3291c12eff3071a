#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>

namespace Lavendervane::EntryProcess {

/// Random decisions and texts from one seed.
class SeededRandom {
public:
    explicit SeededRandom(uint64_t seed)
        : engine(seed)
    {
    }

    /// Returns a source that is independent of this one.
    SeededRandom split() { return SeededRandom(this->engine()); }

    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->engine) < share; }

    /// Returns a number from `lowest` to `highest`, both included.
    uint64_t between(uint64_t lowest, uint64_t highest)
    {
        return std::uniform_int_distribution<uint64_t>(lowest, highest)(this->engine);
    }

    std::chrono::microseconds duration(std::chrono::microseconds shortest, std::chrono::microseconds longest);

    /// Returns sixteen hexadecimal digits.
    std::string identifier();

    /// Returns small letters.
    std::string word();

    /// Returns bytes of any value, some of them in the form of messages, without CR LF.
    std::string oddBytes();

private:
    std::string oddPart();

    std::mt19937_64 engine;
};

} // namespace Lavendervane::EntryProcess
