#pragma once

#include "Core/Instant.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace Lavendervane {

struct StructuredLogSettings {
    int descriptor = 1; ///< standard output
    size_t bufferLimit = 256 * 1024; ///< bytes that wait for a slow reader
    uint32_t linesPerSecond = 25; ///< of one kind; the rest is counted
};

/// Writes one JSON object a line and never blocks: what a slow reader does not take is kept up to a limit, then dropped
/// and counted. Calls are safe from any thread.
class StructuredLog {
public:
    using Field = std::pair<std::string_view, std::string>;

    StructuredLog(std::string vm, StructuredLogSettings = {});

    void write(std::string_view kind, std::initializer_list<Field>);

private:
    struct Rate {
        Instant second {};
        uint32_t lines = 0;
        uint64_t suppressed = 0;
    };

    void flush();

    std::string vm;
    StructuredLogSettings settings;
    std::mutex mutex;
    std::map<std::string, Rate, std::less<>> rates;
    std::string buffer;
    uint64_t dropped = 0;
};

} // namespace Lavendervane
