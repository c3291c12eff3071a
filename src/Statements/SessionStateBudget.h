#pragma once

#include <cstddef>
#include <cstdint>

namespace Lavendervane {

/// Limits, in bytes, on the values and prepared statements that callers keep in their sessions.
struct SessionStateLimits {
    size_t perSession = size_t { 4 } << 20;
    size_t perProcess = size_t { 16 } << 20;

    /// Returns the limits of a process that may use `memoryBytes`; the defaults if that is 0.
    static SessionStateLimits makeFor(uint64_t memoryBytes);
};

/// Sum of what the sessions of a process keep.
class SessionStateBudget {
public:
    explicit SessionStateBudget(SessionStateLimits limits)
        : limits(limits)
    {
    }

    /// Returns true if a session may keep `bytes` in all.
    bool allowsSession(size_t bytes) const { return bytes <= this->limits.perSession; }

    /// Returns true if the sessions may keep `more` bytes in addition.
    bool hasRoom(size_t more) const { return this->used + more <= this->limits.perProcess; }

    /// A session keeps `after` bytes and no longer `before` bytes.
    void replace(size_t before, size_t after) { this->used += after - before; }

    size_t usedBytes() const { return this->used; }

private:
    SessionStateLimits limits;
    size_t used = 0;
};

} // namespace Lavendervane
