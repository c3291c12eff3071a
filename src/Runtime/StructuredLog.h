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

/// Output and limits of a StructuredLog.
struct StructuredLogSettings {
    int descriptor = 1; ///< file descriptor; 1 is standard output
    size_t bufferLimit = 256 * 1024; ///< largest number of bytes buffered for a slow reader
    uint32_t linesPerSecond = 25; ///< lines per kind; further lines are only counted
};

/// Writes one JSON object per line without blocking. Lines that a slow reader has not taken are buffered up to a limit;
/// further lines are dropped and counted. Thread-safe.
class StructuredLog {
public:
    using Field = std::pair<std::string_view, std::string>;

    StructuredLog(std::string vm, StructuredLogSettings = {});

    void write(std::string_view kind, std::initializer_list<Field>);

private:
    struct Rate {
        Instant second {}; ///< start of the second in which `lines` are counted
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
