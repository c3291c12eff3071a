#include "Relay/TcpRelayTransport.h"

#include "Statements/SessionStateBudget.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

struct Recorder : RelayTransportListener {
    void onRelayMessage(RelayChannel channel, RelayMessage message) override
    {
        this->channel = channel;
        this->messages.push_back(std::move(message));
    }
    void onRelayChannelClosed(RelayChannel) override { ++this->closed; }

    RelayChannel channel = 0;
    std::vector<RelayMessage> messages;
    int closed = 0;
};

std::string freeAddress(asio::io_context& context)
{
    const tcp::acceptor probe(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(probe.local_endpoint().port());
}

struct TcpRelayTransportFixture {
    TcpRelayTransportFixture()
    {
        this->left.setListener(&this->leftRecorder);
        this->right.setListener(&this->rightRecorder);
    }

    /// Runs until the condition holds; false after five seconds.
    bool runUntil(const std::function<bool()>& condition)
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (!condition() && std::chrono::steady_clock::now() < end)
            this->context.run_one_for(50ms);
        return condition();
    }

    asio::io_context context;
    std::string leftAddress { freeAddress(context) };
    TcpRelayTransport left { context, leftAddress };
    std::string rightAddress { freeAddress(context) };
    TcpRelayTransport right { context, rightAddress };
    Recorder leftRecorder;
    Recorder rightRecorder;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TcpRelayTransportTest, TcpRelayTransportFixture)

BOOST_AUTO_TEST_CASE(Send_BeforeConnected_ArrivesInOrderBothWays)
{
    const RelayChannel channel = this->left.open(this->rightAddress);
    Statement write = makeProxyStatement(StatementKind::Write);
    write.text = std::string(100'000, 'x');
    const RelayBatch large { 2, 800, { write } };
    this->left.send(channel, RelayOpened { 1 });
    this->left.send(channel, large);
    BOOST_REQUIRE(this->runUntil([this] { return this->rightRecorder.messages.size() == 2; }));
    BOOST_TEST((this->rightRecorder.messages[0] == RelayMessage(RelayOpened { 1 })));
    BOOST_TEST((this->rightRecorder.messages[1] == RelayMessage(large)));
    this->right.send(this->rightRecorder.channel, RelayClose { 3 });
    BOOST_REQUIRE(this->runUntil([this] { return this->leftRecorder.messages.size() == 1; }));
    BOOST_TEST(this->leftRecorder.channel == channel);
}

BOOST_AUTO_TEST_CASE(Open_NobodyListens_IsClosed)
{
    this->left.open(freeAddress(this->context));
    BOOST_TEST(this->runUntil([this] { return this->leftRecorder.closed == 1; }));
}

BOOST_AUTO_TEST_CASE(Close_OtherEnd_IsTold)
{
    const RelayChannel channel = this->left.open(this->rightAddress);
    this->left.send(channel, RelayOpened { 1 });
    BOOST_REQUIRE(this->runUntil([this] { return !this->rightRecorder.messages.empty(); }));
    this->left.close(channel);
    BOOST_TEST(this->runUntil([this] { return this->rightRecorder.closed == 1; }));
    BOOST_TEST(this->leftRecorder.closed == 0);
}

// Malformed input must end its connection; it must neither crash the process, nor use unbounded memory, nor be decoded
// as a message. Valid messages must be decoded even if they arrive byte by byte.
BOOST_AUTO_TEST_CASE(Receive_MalformedBytes_EndsThatConnection)
{
    const std::string good = encodeRelayMessage(RelayOpened { 9 });
    const std::vector<std::string> malformed { "GET / HTTP/1.1\r\n\r\n", std::string("\0\0\0\3abc", 7),
        std::string("\xff\xff\xff\xff", 4) };
    int closed = 0;
    for (const std::string& bytes : malformed) {
        tcp::socket stray(this->context);
        stray.connect({ asio::ip::make_address("127.0.0.1"),
            static_cast<uint16_t>(std::stoi(this->rightAddress.substr(this->rightAddress.find(':') + 1))) });
        const std::string framed = std::string("\0\0\0", 3) + static_cast<char>(good.size()) + good + bytes;
        for (const char byte : framed)
            asio::write(stray, asio::buffer(&byte, 1));
        ++closed;
        BOOST_TEST(this->runUntil([this, closed] { return this->rightRecorder.closed == closed; }));
        BOOST_TEST(this->rightRecorder.messages.size() == static_cast<size_t>(closed));
    }
}

// Guards against a long answer that ends the connection between two VMs, and with it the links of all other statements.
BOOST_AUTO_TEST_CASE(Send_AnswersOverTheFrameLimit_FailOnlyTheirLink)
{
    const RelayChannel channel = this->left.open(this->rightAddress);
    EndpointAnswer answer;
    answer.code = AnswerCode::Done;
    answer.result = std::string(5 * 1024 * 1024, 'x');
    this->left.send(channel, RelayAnswers { 1, { answer } });
    this->left.send(channel, RelayOpened { 2 });
    this->runUntil([this] { return this->rightRecorder.closed || this->rightRecorder.messages.size() == 2; });
    BOOST_TEST(this->rightRecorder.closed == 0);
    BOOST_REQUIRE(this->rightRecorder.messages.size() == 2U);
    const auto* failed = std::get_if<RelayFailed>(&this->rightRecorder.messages.front());
    BOOST_TEST((failed && failed->link == 1 && failed->failure == LinkFailure::Broken));
}

// Guards against a batch with many session values that does the same.
BOOST_AUTO_TEST_CASE(Send_BatchOverTheFrameLimit_FailsOnlyItsLink)
{
    const RelayChannel channel = this->left.open(this->rightAddress);
    Statement set = makeProxyStatement(StatementKind::SetValue);
    set.name = "n";
    set.text = std::string(1024 * 1024 - 100, 'x');
    this->left.send(channel, RelayBatch { 1, 800, std::vector<Statement>(5, set) });
    this->left.send(channel, RelayClose { 2 });
    this->runUntil([this] {
        return this->rightRecorder.closed
            || (this->rightRecorder.messages.size() + this->leftRecorder.messages.size() == 2);
    });
    BOOST_TEST(this->rightRecorder.closed == 0);
    BOOST_TEST(this->rightRecorder.messages.size() == 1U);
    BOOST_REQUIRE(this->leftRecorder.messages.size() == 1U);
    const auto* failed = std::get_if<RelayFailed>(&this->leftRecorder.messages.front());
    BOOST_TEST((failed && failed->link == 1 && failed->failure == LinkFailure::Broken));
}

// Guards against a commit that cannot be sent because of the values that were set before it.
BOOST_AUTO_TEST_CASE(Send_CommitWithAllValuesThatASessionMayKeep_Arrives)
{
    const RelayChannel channel = this->left.open(this->rightAddress);
    static constexpr size_t values = 4;
    static constexpr size_t overhead = 128; // counted for each value besides its texts
    Statement set = makeProxyStatement(StatementKind::SetValue);
    set.name = "n";
    set.text = std::string(SessionStateLimits().perSession / values - overhead - set.name.size(), 'x');
    std::vector<Statement> batch(values, set);
    batch.push_back(makeProxyStatement(StatementKind::Commit));
    batch.back().id = std::string(40, 'x');
    this->left.send(channel, RelayBatch { 1, 800, batch });
    this->runUntil([this] { return this->rightRecorder.closed || !this->rightRecorder.messages.empty(); });
    BOOST_REQUIRE_EQUAL(this->rightRecorder.messages.size(), 1U);
    BOOST_TEST(std::holds_alternative<RelayBatch>(this->rightRecorder.messages.front()));
}

BOOST_AUTO_TEST_SUITE_END()
