#include "Traffic/TrafficServer.h"

#include "Core/Error.h"
#include "Http/Address.h"
#include "Http/HttpServer.h"
#include "Security/Digest.h"
#include "Traffic/CallerConnection.h"
#include "Traffic/EndpointOwner.h"
#include "Traffic/ForwardClient.h"
#include "Traffic/ForwardServer.h"
#include "Traffic/RequestRunner.h"
#include "Traffic/TrafficShared.h"
#include "Traffic/TrafficThread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cassert>
#include <cstring>
#include <optional>
#include <thread>

namespace Lavendervane {

namespace asio = boost::asio;
using namespace std::chrono_literals;

class TrafficServer::Implementation {
public:
    Implementation(const TrafficSettings&, Admission&, TrafficObserver&, prometheus::Registry&);

    void start();
    void stopAccepting(std::function<void()> finished);
    void pollFinished(const std::shared_ptr<asio::steady_timer>&, const std::function<void()>& finished);
    void stop();

    std::optional<asio::ssl::context> tls;
    TrafficShared shared;
    ForwardServer forwardServer;
    std::vector<std::thread> threads;
    uint16_t port = 0;

private:
    void loadTlsFiles();
    void listen();
};

static uint64_t randomSeed()
{
    const std::string bytes = randomBytes(sizeof(uint64_t));
    uint64_t seed = 0;
    std::memcpy(&seed, bytes.data(), sizeof seed);
    return seed;
}

TrafficServer::Implementation::Implementation(
    const TrafficSettings& settings, Admission& admission, TrafficObserver& observer, prometheus::Registry& registry)
    : shared(settings, admission, observer, registry)
    , forwardServer(this->shared)
{
    this->loadTlsFiles();
    for (uint32_t index = 0; index < std::max(1U, settings.threads); ++index)
        this->shared.threads.push_back(std::make_unique<TrafficThread>(this->shared, randomSeed()));
    this->listen();
}

void TrafficServer::Implementation::loadTlsFiles()
{
    const TrafficSettings& settings = this->shared.settings;
    if (settings.tlsCertificateFile.empty())
        return;
    try {
        this->tls.emplace(asio::ssl::context::tls_server);
        this->tls->set_options(asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1);
        this->tls->use_certificate_chain_file(settings.tlsCertificateFile);
        this->tls->use_private_key_file(settings.tlsKeyFile, asio::ssl::context::pem);
    } catch (const boost::system::system_error& error) {
        throw Error("load TLS files", "",
            "certificate " + settings.tlsCertificateFile + ", key " + settings.tlsKeyFile + ": "
                + error.code().message());
    }
}

void TrafficServer::Implementation::listen()
{
    HttpServerSettings settings;
    settings.address = this->shared.settings.address;
    settings.sharePort = true;
    settings.tls = this->tls ? &*this->tls : nullptr;
    for (const auto& thread : this->shared.threads) {
        thread->server = std::make_unique<HttpServer>(
            thread->context(), settings, [&thread = *thread] { return std::make_shared<CallerConnection>(thread); });
        if (this->port)
            continue;
        // If the configured port is 0, the first thread binds a free port and the other threads share it.
        this->port = thread->server->port();
        auto address = parseAddress(settings.address);
        address.port(this->port);
        settings.address = formatAddress(address);
    }
}

void TrafficServer::Implementation::start()
{
    assert(this->threads.empty());
    for (const auto& thread : this->shared.threads) {
        this->threads.emplace_back([&context = thread->context()] {
            const auto work = asio::make_work_guard(context);
            context.run();
        });
    }
}

void TrafficServer::Implementation::stopAccepting(std::function<void()> finished)
{
    for (const auto& thread : this->shared.threads)
        asio::post(thread->context(), [&thread = *thread] { thread.server->stopAccepting(); });
    const auto timer = std::make_shared<asio::steady_timer>(this->shared.threads.front()->context());
    asio::post(this->shared.threads.front()->context(),
        [this, timer, finished = std::move(finished)] { this->pollFinished(timer, finished); });
}

void TrafficServer::Implementation::pollFinished(
    const std::shared_ptr<asio::steady_timer>& timer, const std::function<void()>& finished)
{
    timer->expires_after(10ms);
    timer->async_wait([this, timer, finished](boost::system::error_code error) {
        if (error)
            return;
        if (this->shared.running)
            this->pollFinished(timer, finished);
        else
            finished();
    });
}

void TrafficServer::Implementation::stop()
{
    this->forwardServer.stop();
    this->shared.forwardClient->stop();
    for (const auto& thread : this->shared.threads)
        thread->context().stop();
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
    for (const auto& thread : this->shared.threads) {
        thread->stop();
        thread->server.reset();
    }
    // Runs the handlers of closed connections, so that they release the objects that other threads hold for them. These
    // handlers post further ones to other threads, hence several rounds.
    for (int round = 0; round < 3; ++round) {
        for (const auto& thread : this->shared.threads) {
            thread->context().restart();
            thread->context().poll();
        }
    }
    this->shared.stopped = true;
}

TrafficServer::TrafficServer(
    const TrafficSettings& settings, Admission& admission, TrafficObserver& observer, prometheus::Registry& registry)
    : implementation(std::make_unique<Implementation>(settings, admission, observer, registry))
{
}

TrafficServer::~TrafficServer() { this->implementation->stop(); }

void TrafficServer::start() { this->implementation->start(); }

// NOLINTNEXTLINE(performance-unnecessary-value-param): every thread takes its own reference.
void TrafficServer::publish(std::shared_ptr<const TrafficSnapshot> snapshot)
{
    this->implementation->shared.forwardClient->retainPeers(*snapshot);
    for (const auto& thread : this->implementation->shared.threads)
        asio::post(thread->context(), [&thread = *thread, snapshot] { thread.setSnapshot(snapshot); });
}

grpc::Service& TrafficServer::forwardService() { return this->implementation->forwardServer.service(); }

uint16_t TrafficServer::port() const { return this->implementation->port; }

void TrafficServer::beginDraining()
{
    for (const auto& thread : this->implementation->shared.threads)
        asio::post(thread->context(), [&thread = *thread] { thread.server->beginDraining(); });
}

void TrafficServer::stopAccepting(std::function<void()> finished)
{
    this->implementation->stopAccepting(std::move(finished));
}

size_t TrafficServer::running() const { return this->implementation->shared.running; }

void TrafficServer::stop() { this->implementation->stop(); }

} // namespace Lavendervane
