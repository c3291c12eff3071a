#pragma once

#include <stdexcept>
#include <string>

namespace Lavendervane {

/// Failure with the step that failed and the peer at which it arose (empty for a local failure).
class Error : public std::runtime_error {
public:
    Error(std::string step, std::string peer, std::string message);

    const std::string& step() const { return this->failedStep; }
    const std::string& peer() const { return this->failedPeer; }
    const std::string& message() const { return this->reason; }

private:
    std::string failedStep;
    std::string failedPeer;
    std::string reason;
};

} // namespace Lavendervane
