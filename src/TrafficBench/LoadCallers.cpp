#include "TrafficBench/LoadCallers.h"

#include "Core/Error.h"
#include "Http/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <thread>

namespace Lavendervane {

namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

/// Results of all connections of one thread.
struct ThreadResult {
    std::vector<double> latencies; ///< microseconds, in the order of the responses
    uint64_t failures = 0; ///< responses with a status other than 200
    bool hasConnectionFailed = false;
};

/// Sends the request over one connection until the end time, each time after the previous response.
class LoadConnection : public std::enable_shared_from_this<LoadConnection> {
public:
    LoadConnection(
        boost::asio::io_context& context, const std::string& request, ThreadResult& threadResult, Clock::time_point end)
        : socket(context)
        , request(request)
        , threadResult(threadResult)
        , end(end)
    {
    }

    void start(const boost::asio::ip::tcp::endpoint& endpoint)
    {
        this->socket.connect(endpoint);
        this->socket.set_option(boost::asio::ip::tcp::no_delay(true));
        this->send();
    }

private:
    void send()
    {
        this->sendTime = Clock::now();
        if (this->sendTime >= this->end)
            return;
        boost::asio::async_write(this->socket, boost::asio::buffer(this->request),
            [self = this->shared_from_this()](error_code error, size_t) {
                if (error)
                    self->threadResult.hasConnectionFailed = true;
                else
                    self->receive();
            });
    }

    void receive()
    {
        this->response = {};
        http::async_read(
            this->socket, this->buffer, this->response, [self = this->shared_from_this()](error_code error, size_t) {
                if (error) {
                    self->threadResult.hasConnectionFailed = true;
                    return;
                }
                const std::chrono::duration<double, std::micro> latency = Clock::now() - self->sendTime;
                self->threadResult.latencies.push_back(latency.count());
                self->threadResult.failures += self->response.result_int() != 200;
                self->send();
            });
    }

    boost::asio::ip::tcp::socket socket;
    const std::string& request;
    ThreadResult& threadResult;
    Clock::time_point end;
    Clock::time_point sendTime; ///< start of the current request
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
};

} // namespace

double LoadResult::quantile(double fraction) const
{
    if (this->latencies.empty())
        return 0;
    const auto last = static_cast<double>(this->latencies.size() - 1);
    return this->latencies[static_cast<size_t>(last * fraction)];
}

LoadResult measureLoad(
    const std::string& address, const std::string& request, uint32_t connections, std::chrono::milliseconds duration)
{
    constexpr uint32_t threadCount = 2;
    const auto endpoint = parseAddress(address);
    const auto started = Clock::now();
    std::vector<ThreadResult> threadResults(threadCount);
    std::vector<std::thread> threads;
    for (uint32_t index = 0; index < threadCount; ++index) {
        threads.emplace_back([&, index] {
            boost::asio::io_context context(1);
            for (uint32_t count = index; count < connections; count += threadCount)
                std::make_shared<LoadConnection>(context, request, threadResults[index], started + duration)
                    ->start(endpoint);
            context.run();
        });
    }
    for (std::thread& thread : threads)
        thread.join();

    LoadResult result;
    for (const ThreadResult& threadResult : threadResults) {
        if (threadResult.hasConnectionFailed)
            throw Error("measure", address, "a connection failed during the load");
        result.latencies.insert(result.latencies.end(), threadResult.latencies.begin(), threadResult.latencies.end());
        result.failures += threadResult.failures;
    }
    std::sort(result.latencies.begin(), result.latencies.end());
    result.rate = static_cast<double>(result.latencies.size()) / std::chrono::duration<double>(duration).count();
    return result;
}

} // namespace Lavendervane
