#pragma once

#include "Traffic/ForwardClient.h"

namespace Lavendervane {

/// Transaction at an endpoint that another VM owns, over one gRPC stream to that VM.
class ForwardTransaction : public TransactionChannel {
public:
    ForwardTransaction(boost::asio::io_context&, std::shared_ptr<ForwardClient::Implementation>, const PeerRouting&);
    ~ForwardTransaction() override;

    ForwardTransaction(const ForwardTransaction&) = delete;
    ForwardTransaction& operator=(const ForwardTransaction&) = delete;

    void exchange(EndpointTask, EndpointCallback) override;
    void close() override;

private:
    class Stream;
    std::shared_ptr<Stream> stream;
};

} // namespace Lavendervane
