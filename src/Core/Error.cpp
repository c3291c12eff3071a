#include "Core/Error.h"

namespace Lavendervane {

static std::string formatMessage(const std::string& step, const std::string& peer, const std::string& message)
{
    if (peer.empty())
        return step + ": " + message;
    return step + " at " + peer + ": " + message;
}

Error::Error(std::string step, std::string peer, std::string message)
    : std::runtime_error(formatMessage(step, peer, message))
    , failedStep(std::move(step))
    , failedPeer(std::move(peer))
    , reason(std::move(message))
{
}

} // namespace Lavendervane
