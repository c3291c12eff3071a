#include "EndpointStandIn.h"

#include "EndpointSession.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <utility>

namespace Lavendervane::EntryProcess {

namespace asio = boost::asio;
using boost::system::error_code;

static constexpr size_t maxWaitingWork = 60;

EndpointStandIn::EndpointStandIn(asio::io_context& context, const std::string& ip, const EndpointSettings& settings,
    GroupLog& log, PromiseChecker& checker, SeededRandom random)
    : settings(settings)
    , log(log)
    , checker(checker)
    , random(random)
    , context(context)
    , leads(settings.isPrimary)
    , acceptor(context, { asio::ip::make_address(ip), 0 })
{
    this->accept();
}

EndpointStandIn::~EndpointStandIn()
{
    for (const auto& session : std::exchange(this->sessions, {}))
        session->close();
}

std::string EndpointStandIn::address() const
{
    const auto local = this->acceptor.local_endpoint();
    return local.address().to_string() + ":" + std::to_string(local.port());
}

uint64_t EndpointStandIn::position() const
{
    const uint64_t received = this->log.positionAfter(this->leads ? Clock::duration {} : this->settings.lag);
    return this->pauseTerm ? std::min(received, this->pausePosition) : received;
}

void EndpointStandIn::pause(uint64_t term)
{
    if (this->leads || term <= std::max(this->newestTerm, this->pauseTerm))
        return;
    this->pausePosition = this->position();
    this->pauseTerm = term;
}

void EndpointStandIn::stepDown(uint64_t term)
{
    if (!this->leads || term <= this->newestTerm)
        return;
    this->leads = false;
    this->newestTerm = term;
}

std::string EndpointStandIn::makeMac()
{
    return std::to_string(++lastMac) + "." + this->settings.id + "." + this->random.identifier();
}

void EndpointStandIn::remove(const std::shared_ptr<EndpointSession>& session) { this->sessions.erase(session); }

void EndpointStandIn::accept()
{
    this->acceptor.async_accept([this](const error_code& error, asio::ip::tcp::socket connection) {
        if (error)
            return;
        const auto session = std::make_shared<EndpointSession>(*this, std::move(connection));
        this->sessions.insert(session);
        session->start();
        this->accept();
    });
}

bool EndpointStandIn::occupySlot(std::chrono::microseconds work, std::function<void()> done)
{
    if (this->waiting.size() >= maxWaitingWork)
        return false;
    this->waiting.push_back({ work, std::move(done) });
    this->startWork();
    return true;
}

void EndpointStandIn::startWork()
{
    if (this->waiting.empty() || this->busy >= this->settings.slots)
        return;
    ++this->busy;
    Work work = std::move(this->waiting.front());
    this->waiting.pop_front();
    const auto timer = std::make_shared<asio::steady_timer>(this->context, work.duration);
    timer->async_wait([this, timer, done = std::move(work.done)](const error_code&) {
        --this->busy;
        done();
        this->startWork();
    });
}

} // namespace Lavendervane::EntryProcess
