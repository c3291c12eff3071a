#include "Load/LoadRun.h"

#include "Core/Rendezvous.h"
#include "Load/LoadRunCall.h"
#include "Runtime/BootTime.h"

#include <utility>

namespace Lavendervane {

static int64_t now() { return bootTimeNow().time_since_epoch().count(); }

LoadRun::LoadRun(boost::asio::io_context& context, LoadSettings settings, const Workload& workload, EventSink sink)
    : context(context)
    , settings(std::move(settings))
    , sink(std::move(sink))
    , pool(context, this->settings.vms, this->settings.connectionsPerVm)
    , timer(context)
{
    for (const OrganisationLoad& load : workload.organisations) {
        const uint64_t seed = this->settings.seed ^ stableHash(load.name);
        this->organisations.push_back(std::make_unique<Organisation>(
            Organisation { load, { load, workload.keys, this->settings.run, seed }, {}, 0, 0, 0 }));
        // Consecutive sessions start at different VMs to spread the first requests.
        Organisation& organisation = *this->organisations.back();
        for (uint32_t count = 0; count < workload.sessions; ++count)
            organisation.idle.push_back(this->takeSession(organisation));
    }
}

LoadRun::~LoadRun() = default;

std::unique_ptr<LoadRun::Session> LoadRun::takeSession(Organisation& organisation)
{
    // The constructor, which runs before endTime is set, needs new sessions to fill the idle list. Later calls reuse an
    // idle session if there is one.
    if (this->endTime && !organisation.idle.empty()) {
        auto session = std::move(organisation.idle.front());
        organisation.idle.pop_front();
        return session;
    }
    auto session = std::make_unique<Session>();
    session->nextVm = organisation.sessions;
    session->id = this->settings.run + "-" + organisation.load.name + "-" + std::to_string(organisation.sessions++);
    return session;
}

void LoadRun::start()
{
    const int64_t start = now();
    this->endTime = start + std::chrono::nanoseconds(this->settings.duration).count();
    for (const auto& organisation : this->organisations)
        organisation->nextStart = start + organisation->generator.nextDelay();
    this->tick();
}

void LoadRun::stop()
{
    this->stopped = true;
    this->timer.cancel();
    if (!this->runningRequests && this->finishedCallback)
        this->finishedCallback();
}

void LoadRun::onRequestEnded()
{
    --this->runningRequests;
    if (this->stopped && !this->runningRequests && this->finishedCallback)
        this->finishedCallback();
}

void LoadRun::tick()
{
    const int64_t current = now();
    if (this->stopped)
        return;
    if (current >= this->endTime) {
        this->stop();
        return;
    }
    for (const auto& organisation : this->organisations) {
        while (organisation->nextStart <= current) {
            organisation->nextStart += organisation->generator.nextDelay();
            this->startRequest(*organisation);
        }
    }
    this->timer.expires_after(std::chrono::milliseconds(1));
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error)
            this->tick();
    });
}

void LoadRun::startRequest(Organisation& organisation)
{
    ++this->runningRequests;
    auto session = this->takeSession(organisation);
    PlannedRequest plan = organisation.generator.next(session->recentWrites);
    std::make_shared<Call>(*this, organisation, std::move(session), std::move(plan))->start();
}

} // namespace Lavendervane
