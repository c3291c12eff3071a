#include "Traffic/EndpointTask.h"

namespace Lavendervane {

EndpointResult makeNotRun(
    std::string code, std::string step, std::string peer, std::string message, std::chrono::milliseconds retryAfter)
{
    EndpointResult result;
    result.outcome = Outcome::NotRun;
    result.failure = { std::move(code), std::move(step), std::move(peer), std::move(message),
        static_cast<uint32_t>(retryAfter.count()) };
    return result;
}

EndpointResult makeUnknown(std::string code, std::string step, std::string peer, std::string message)
{
    EndpointResult result;
    result.outcome = Outcome::Unknown;
    result.failure = { std::move(code), std::move(step), std::move(peer), std::move(message), 0 };
    return result;
}

} // namespace Lavendervane
