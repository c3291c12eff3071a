#pragma once

#include "WireConnector.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Lavendervane::Adapter {

/// Records what a link to an endpoint reports.
class RecordingLinkListener : public LinkListener {
public:
    void linkConnected() override { }
    void linkOpened() override { this->isOpen = true; }
    void linkAnswered(std::vector<EndpointAnswer> batch) override { this->batches.push_back(std::move(batch)); }
    void linkIgnoredRepetition() override { ++this->repetitions; }
    void linkFailed(LinkFailure, AnswerCode, const std::string& message) override { this->failure = message; }

    bool isOpen = false;
    size_t repetitions = 0;
    std::vector<std::vector<EndpointAnswer>> batches;
    std::optional<std::string> failure; ///< reason for which the link failed
};

/// A link over the wire protocol to an endpoint whose bytes the test writes itself.
struct ScriptedEndpoint {
    ScriptedEndpoint()
    {
        const LinkTarget target { GroupId("stock"), EndpointId("i-1"),
            "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()), OrganisationId("desk") };
        this->link = this->connector.connect(target, this->listener);
        this->acceptor.accept(this->connection);
        this->connection.set_option(boost::asio::ip::tcp::no_delay(true));
        this->run();
        this->receive();
        this->write("READY I 1.1\r\n");
        BOOST_REQUIRE(this->listener.isOpen);
    }

    /// Writes bytes to the link and lets it read them.
    void write(const std::string& bytes)
    {
        boost::system::error_code ignored; // the link may have closed the connection
        boost::asio::write(this->connection, boost::asio::buffer(bytes), ignored);
        this->run();
    }

    void send(const std::vector<Statement>& statements)
    {
        this->link->send(statements, { Instant::max(), {} });
        this->run();
    }

    /// Returns what the link has sent since the last call.
    std::string receive()
    {
        std::string received;
        boost::system::error_code error;
        this->connection.non_blocking(true);
        while (!error) {
            char bytes[512];
            received.append(bytes, this->connection.read_some(boost::asio::buffer(bytes), error));
        }
        this->connection.non_blocking(false);
        return received;
    }

    /// Handles events until none has come for a while.
    void run()
    {
        this->context.restart();
        while (this->context.run_one_for(std::chrono::milliseconds(20)))
            continue;
    }

    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor { context, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
    boost::asio::ip::tcp::socket connection { context };
    WireConnector connector { context };
    RecordingLinkListener listener;
    std::shared_ptr<EndpointLink> link;
};

} // namespace Lavendervane::Adapter
