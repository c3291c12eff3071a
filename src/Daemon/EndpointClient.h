#pragma once

#include "Groups/GroupMessages.h"
#include "Platform/HttpPool.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace Lavendervane {

/// Calls the control paths of endpoints (docs/design.md, 6.2) on the control thread. Each call ends with one event for
/// the group supervisor: the answer, or EndpointFailed.
class EndpointClient {
public:
    EndpointClient(boost::asio::io_context&, std::function<void(GroupEvent)> sink);

    void start(const QueryStatus&);
    void start(const SendFence&);
    void start(const SendPromote&);
    void start(const SendFollow&);

private:
    using Parse = std::function<GroupEvent(const std::string& body)>;

    void call(const EndpointId&, const std::string& address, const std::string& path, const std::string& body,
        const std::string& exchangeId, bool freshConnection, Parse);

    HttpPool pool;
    std::function<void(GroupEvent)> sink;
    uint64_t lastExchange = 0;
};

} // namespace Lavendervane
