#pragma once

#include "Core/LogPosition.h"
#include "Http/HttpServer.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Lavendervane {

/// How a fake endpoint responds to a traffic request.
enum class ResponseMode {
    Normal, ///< runs the request and answers
    WrongExchangeId, ///< runs the request and answers with the exchange id of another
    NoResponse, ///< neither answers nor closes
    CloseBeforeRunning, ///< closes the connection without running the request
    CloseAfterRunning, ///< runs the request and closes the connection without an answer
    Malformed, ///< answers with text that is not JSON
    WrongTerm, ///< rejects with the code wrong_term
    NotCovered, ///< rejects with the code not_covered
    Busy, ///< rejects with the code busy
};

/// Endpoint inside the test process. Counts statements instead of executing them. Thread-safe.
class FakeEndpoint {
public:
    FakeEndpoint();
    ~FakeEndpoint();

    FakeEndpoint(const FakeEndpoint&) = delete;
    FakeEndpoint& operator=(const FakeEndpoint&) = delete;

    const std::string& address() const { return this->ownAddress; }

    void setTerm(uint64_t counter, bool primary);

    /// Sets the log position and answers the pending polls that wait for it.
    void setPosition(uint64_t);

    /// Sets the modes of the next traffic requests, in order. Later requests use the default mode.
    void setNextModes(std::vector<ResponseMode>);

    /// Sets the mode of all further traffic requests and discards modes set by setNextModes().
    void setDefaultMode(ResponseMode);

    /// Stops listening and closes all connections.
    void stopListening();

    /// Sets a function that is called on the endpoint's thread with each traffic request.
    void onRequest(std::function<void(const std::string& path, const nlohmann::json&)>);

    /// Bodies of all requests to a path so far.
    std::vector<nlohmann::json> requests(const std::string& path);

    /// Headers and bodies of all requests so far, as text.
    std::string allRequestText();

    /// Number of writes that ran, counted once per idempotency key.
    size_t writesRun();
    size_t connections();

private:
    class Handler;
    struct Poll {
        nlohmann::json request;
        HttpRespond respond;
    };

    void handle(HttpRequest, HttpRespond);
    void handleTraffic(const std::string& path, const nlohmann::json& request, const HttpRespond&);
    nlohmann::json runRequest(const std::string& path, const nlohmann::json& request);
    nlohmann::json makeAnswer(const nlohmann::json& request, const std::string& outcome, const std::string& code) const;
    void answerPolls();

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::unique_ptr<HttpServer> server;
    std::string ownAddress;
    std::mutex mutex;
    Term term { 1, VmId("vm-1") };
    bool primary = false;
    uint64_t position = 1;
    uint64_t firstPosition = 1;
    std::deque<ResponseMode> nextModes;
    ResponseMode defaultMode = ResponseMode::Normal;
    std::function<void(const std::string&, const nlohmann::json&)> observer;
    std::map<std::string, std::vector<nlohmann::json>> seen;
    std::string requestText;
    std::map<std::string, uint64_t> recordedWrites; ///< log position of each write, keyed by idempotency key
    std::vector<Poll> polls;
    std::vector<HttpRespond> unanswered;
    std::thread thread;
};

} // namespace Lavendervane
