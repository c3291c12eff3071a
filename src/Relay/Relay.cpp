#include "Relay/Relay.h"

#include "Core/Rendezvous.h"
#include "Relay/PooledLink.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace Lavendervane {

/// A link of this VM to an endpoint through one of its owners.
class Relay::Link : public EndpointLink, public LinkListener, public std::enable_shared_from_this<Link> {
public:
    Link(Relay& relay, LinkTarget target, LinkListener& listener, uint64_t number)
        : relay(relay)
        , target(std::move(target))
        , listener(&listener)
        , number(number)
    {
    }

    ~Link() override { this->end(); }

    void start()
    {
        this->untriedOwners = this->relay.candidates(this->target);
        // Deferred, because the listener must not be called from within the call that opens the link.
        this->timer = this->relay.timers.schedule(this->relay.timers.now(), [this] {
            this->timer.reset();
            this->tryNextOwner();
        });
    }

    void send(const std::vector<Statement>& statements, const BatchOptions& options) override
    {
        if (!this->confirmed) {
            this->firstBatch = Batch { statements, options };
            if (this->sendsEarly && this->mayTransmitFirstBatch())
                this->sendFirstBatch();
            return;
        }
        this->transmit(statements, options);
    }

    // An owner of an older version would send all statements at once.
    bool guardsBatches() const override
    {
        if (this->localLink)
            return this->localLink->guardsBatches();
        const auto owner = this->relay.owners.find(this->address);
        return owner != this->relay.owners.end() && owner->second.guardsBatches;
    }

    bool keepsSessionValues() const override { return true; }

    void close() override
    {
        this->listener = nullptr;
        this->end();
    }

    bool isConfirmed() const override { return this->confirmed; }

    std::string relayAddress() const override { return this->localLink ? std::string() : this->address; }

    RelayChannel currentChannel() const { return this->channel; }

    void handleChannelClosed()
    {
        if (this->confirmed || this->isFirstBatchSent)
            this->fail(LinkFailure::Broken, AnswerCode::Busy, "the relay connection to the owner VM broke");
        else
            this->handleOwnerFailure(
                LinkFailure::Unreachable, AnswerCode::Busy, "the owner VM cannot be reached", true);
    }

    void linkConnected() override { }

    void linkOpened() override
    {
        const auto self = this->shared_from_this();
        this->confirm();
        if (std::exchange(this->isReportedOpen, true)) {
            if (this->firstBatch && !this->isFirstBatchSent && !this->mayTransmitFirstBatch()) {
                this->confirmed = false;
                this->handleOwnerFailure(
                    LinkFailure::Rejected, AnswerCode::Busy, "the owner VM does not guard batches", false);
                return;
            }
            if (auto unsent = std::exchange(this->firstBatch, std::nullopt); unsent && !this->isFirstBatchSent)
                this->transmit(unsent->statements, unsent->options);
            return;
        }
        if (this->listener)
            this->listener->linkConnected();
        if (this->listener)
            this->listener->linkOpened();
    }

    void linkAnswered(std::vector<EndpointAnswer> answers) override
    {
        const auto self = this->shared_from_this();
        if (!this->confirmed) {
            this->confirm();
            this->firstBatch.reset();
        }
        if (this->listener)
            this->listener->linkAnswered(std::move(answers));
    }

    void linkFailed(LinkFailure failure, AnswerCode code, const std::string& message) override
    {
        const bool ranNothing = failure == LinkFailure::Rejected || failure == LinkFailure::Unreachable;
        if (this->confirmed || (this->isFirstBatchSent && !ranNothing))
            this->fail(failure, code, message);
        else
            this->handleOwnerFailure(failure, code, message, false);
    }

private:
    struct Batch {
        std::vector<Statement> statements;
        BatchOptions options;
    };

    void tryNextOwner()
    {
        if (this->untriedOwners.empty() || this->silentOwners >= this->relay.settings.maxSilentOwners) {
            this->failUnopened();
            return;
        }
        const FleetMember owner = this->untriedOwners.front();
        this->untriedOwners.erase(this->untriedOwners.begin());
        if (owner.vm == this->relay.selfVm) {
            this->openLocally();
            return;
        }
        this->address = owner.address;
        this->channel = this->relay.channelTo(this->address);
        this->relay.transport.send(this->channel,
            RelayOpen { this->number, this->target.group, this->target.endpoint, this->target.organisation });
        const Instant asked = this->relay.timers.now();
        this->timer = this->relay.timers.schedule(asked + this->relay.settings.ownerTimeout, [this, asked] {
            this->timer.reset();
            const auto self = this->shared_from_this();
            // No message at all since RelayOpen was sent: the connection may be dead without a TCP reset.
            if (this->relay.owners[this->address].lastMessageAt < asked)
                this->relay.closeSilentOwner(this->address);
            else if (!this->isFirstBatchSent) // the owner may still run a batch that was sent
                this->handleOwnerFailure(
                    LinkFailure::Unreachable, AnswerCode::Busy, "the owner VM did not answer in time", true);
        });
        if (this->target.mayOpenEarly && this->relay.hasAnsweredRecently(this->address))
            this->openEarly();
    }

    // The owner answers in order, so it reports that it has not opened the link before anything about a batch.
    void openEarly()
    {
        this->sendsEarly = true;
        if (!std::exchange(this->isReportedOpen, true)) {
            this->relay.log.linkOpenedEarly();
            if (this->listener)
                this->listener->linkOpened();
        } else if (this->firstBatch && this->mayTransmitFirstBatch()) {
            this->sendFirstBatch();
        }
    }

    // A guarded batch that another owner has not run may reach one of an older version.
    bool mayTransmitFirstBatch() const { return !this->firstBatch->options.guardCount || this->guardsBatches(); }

    void sendFirstBatch()
    {
        this->isFirstBatchSent = true;
        this->transmit(this->firstBatch->statements, this->firstBatch->options);
    }

    void transmit(const std::vector<Statement>& statements, const BatchOptions& options)
    {
        if (this->localLink) {
            this->localLink->send(statements, options);
            return;
        }
        const auto within
            = std::chrono::duration_cast<std::chrono::milliseconds>(options.deadline - this->relay.timers.now())
                  .count();
        this->relay.transport.send(this->channel,
            RelayBatch {
                this->number, static_cast<uint64_t>(std::max<int64_t>(within, 1)), statements, options.guardCount });
    }

    void confirm()
    {
        this->cancelTimer();
        this->confirmed = true;
        if (this->isReportedOpen && this->listener)
            this->listener->linkConfirmed();
    }

    void logRepetition(const std::string& reason) const
    {
        RepeatedBatch repeated { "", this->target.organisation, this->target.endpoint, this->address, reason };
        for (const Statement& statement : this->firstBatch->statements) {
            if (!statement.id.empty())
                repeated.id = statement.id;
        }
        this->relay.log.batchRepeated(repeated);
    }

    void openLocally()
    {
        const auto pool = this->relay.pools.find(this->target.endpoint);
        if (!pool) {
            this->handleOwnerFailure(
                LinkFailure::Rejected, AnswerCode::WrongEndpoint, "the endpoint is not registered", false);
            return;
        }
        this->localLink
            = PooledLink::open(pool, this->target.organisation, this->relay.numbers, this->relay.timers, *this);
    }

    void handleOwnerFailure(LinkFailure failure, AnswerCode code, const std::string& message, bool wasSilent)
    {
        this->cancelTimer();
        this->releaseOwner();
        this->sendsEarly = false;
        if (std::exchange(this->isFirstBatchSent, false) && !this->untriedOwners.empty())
            this->logRepetition(message);
        this->silentOwners += wasSilent;
        this->lastFailure = failure;
        this->lastCode = code;
        this->lastMessage = message;
        if (this->listener)
            this->tryNextOwner();
    }

    void fail(LinkFailure failure, AnswerCode code, const std::string& message)
    {
        const auto self = this->weak_from_this().lock();
        LinkListener* receiver = std::exchange(this->listener, nullptr);
        this->end();
        if (receiver)
            receiver->linkFailed(failure, code, message);
    }

    // No owner has opened the link, and none has run a batch of it.
    void failUnopened()
    {
        if (!this->isReportedOpen) {
            this->fail(this->lastFailure, this->lastCode, this->lastMessage);
            return;
        }
        const auto self = this->weak_from_this().lock();
        LinkListener* receiver = std::exchange(this->listener, nullptr);
        this->end();
        if (receiver)
            receiver->linkNotOpened(this->lastFailure, this->lastCode, this->lastMessage);
    }

    void releaseOwner()
    {
        if (auto closed = std::exchange(this->localLink, nullptr))
            closed->close();
        if (this->channel)
            this->relay.transport.send(std::exchange(this->channel, 0), RelayClose { this->number });
    }

    void end()
    {
        this->cancelTimer();
        this->releaseOwner();
        this->relay.links.erase(this->number);
    }

    void cancelTimer()
    {
        if (this->timer)
            this->relay.timers.cancel(*std::exchange(this->timer, std::nullopt));
    }

    Relay& relay;
    LinkTarget target;
    LinkListener* listener;
    uint64_t number;
    std::vector<FleetMember> untriedOwners; ///< remaining candidates in order of preference
    std::string address; ///< address of the current owner
    RelayChannel channel = 0; ///< channel to the current owner; 0 if the owner is this VM
    std::shared_ptr<PooledLink> localLink; ///< set if the current owner is this VM
    uint32_t silentOwners = 0; ///< number of owners that did not answer
    bool isReportedOpen = false; ///< true once the listener may send
    bool confirmed = false; ///< true once an owner has opened the link
    bool sendsEarly = false; ///< true if a batch may be sent to the current owner before it has opened the link
    std::optional<Batch> firstBatch; ///< batch that was received before the link was confirmed
    bool isFirstBatchSent = false; ///< `firstBatch` has been sent to the current owner
    LinkFailure lastFailure = LinkFailure::Unreachable;
    AnswerCode lastCode = AnswerCode::Busy;
    std::string lastMessage = "no VM is known that owns connections to the endpoint";
    std::optional<Timers::Handle> timer;
};

Relay::Relay(VmId selfVm, Timers& timers, EndpointConnector& connector, RelayTransport& transport,
    EndpointObserver& observer, PreparedStatementIds& numbers, TrafficLog& log, RelaySettings settings)
    : selfVm(std::move(selfVm))
    , timers(timers)
    , transport(transport)
    , numbers(numbers)
    , log(log)
    , settings(settings)
    , pools(timers, connector, observer)
    , preopening(this->selfVm, timers, this->pools, this->placement, log)
    , server(timers, transport, this->pools, numbers, log)
    , channelSchedule(stableHash(this->selfVm.str() + "/channels"), settings.channels)
{
    transport.setListener(this);
}

Relay::~Relay()
{
    this->stopOpeningAhead();
    this->transport.setListener(nullptr);
}

void Relay::setDirectory(const std::shared_ptr<const Directory>& next)
{
    this->directory = next;
    this->pools.setDirectory(
        next,
        [this](const RegisteredEndpoint& endpoint, uint32_t connections) {
            return this->placement.connectionLimit(this->selfVm, endpoint.id, endpoint.dataCentre, connections);
        },
        [this](const RegisteredEndpoint& endpoint, uint32_t rate) {
            return this->placement.coldShare(this->selfVm, endpoint.id, endpoint.dataCentre, rate);
        });
    this->preopening.setDirectory(next);
    this->updateChannels();
}

void Relay::setMembers(std::vector<FleetMember> members)
{
    this->placement.setMembers(std::move(members));
    this->pools.updateLimits();
    this->preopening.handleMembersChanged();
    this->updateChannels();
}

void Relay::beginStop()
{
    this->stopOpeningAhead();
    this->server.beginStop();
}

void Relay::stopOpeningAhead()
{
    this->opensAhead = false;
    this->preopening.stop();
    if (this->channelTimer)
        this->timers.cancel(*std::exchange(this->channelTimer, std::nullopt));
    for (auto& [address, owner] : this->owners)
        this->cancelConnectTimer(owner);
}

// The order of an endpoint's owners depends on the organisation, and each owner is the first one of some. The
// substitutes are used only while owners fail.
void Relay::updateChannels()
{
    if (!this->directory || !this->opensAhead)
        return;
    std::vector<std::vector<std::string>> ownersByEndpoint;
    for (const RegisteredEndpoint& endpoint : this->directory->endpoints()) {
        if (!this->directory->isRelayed(endpoint))
            continue;
        const auto candidates = this->placement.candidates(endpoint.id, endpoint.dataCentre, OrganisationId());
        const size_t ownerCount = std::min<size_t>(OwnerPlacementSettings().ownersPerEndpoint, candidates.size());
        std::vector<std::string> addresses;
        for (size_t rank = 0; rank < ownerCount; ++rank) {
            if (candidates[rank].vm != this->selfVm)
                addresses.push_back(candidates[rank].address);
        }
        ownersByEndpoint.push_back(std::move(addresses));
    }
    this->channelSchedule.setOwners(ownersByEndpoint, this->timers.now());
    this->scheduleChannels();
}

void Relay::scheduleChannels()
{
    if (this->channelTimer)
        this->timers.cancel(*std::exchange(this->channelTimer, std::nullopt));
    const auto next = this->channelSchedule.nextDue();
    if (!next || !this->opensAhead)
        return;
    this->channelTimer = this->timers.schedule(*next, [this] {
        this->channelTimer.reset();
        for (const std::string& address : this->channelSchedule.takeDue(this->timers.now()))
            this->openChannelAhead(address);
        this->scheduleChannels();
    });
}

void Relay::openChannelAhead(const std::string& address)
{
    Owner& owner = this->owners[address];
    if (owner.channel)
        return; // a statement has opened it
    if (owner.deprioritisedUntil > this->timers.now()) {
        this->channelSchedule.recordClosed(address, this->timers.now());
        return;
    }
    this->channelTo(address);
    owner.connectTimer
        = this->timers.schedule(this->timers.now() + this->settings.channelConnectTimeout, [this, address] {
              this->owners[address].connectTimer.reset();
              this->closeSilentOwner(address);
          });
}

void Relay::cancelConnectTimer(Owner& owner)
{
    if (owner.connectTimer)
        this->timers.cancel(*std::exchange(owner.connectTimer, std::nullopt));
}

std::shared_ptr<EndpointLink> Relay::connect(const LinkTarget& target, LinkListener& listener)
{
    const uint64_t number = ++this->lastLinkNumber;
    const auto link = std::make_shared<Link>(*this, target, listener, number);
    this->links.emplace(number, link);
    link->start();
    return link;
}

// Owners that recently did not answer come last, so that not every new link waits for their timeout.
std::vector<FleetMember> Relay::candidates(const LinkTarget& target) const
{
    if (!this->directory)
        return {};
    const std::vector<RegisteredEndpoint>& endpoints = this->directory->endpoints();
    const auto endpoint = std::find_if(endpoints.begin(), endpoints.end(),
        [&target](const RegisteredEndpoint& known) { return known.id == target.endpoint; });
    if (endpoint == endpoints.end())
        return {};
    auto all = this->placement.candidates(target.endpoint, endpoint->dataCentre, target.organisation);
    const Instant now = this->timers.now();
    std::stable_partition(all.begin(), all.end(), [this, now](const FleetMember& member) {
        const auto owner = this->owners.find(member.address);
        return member.vm == this->selfVm || owner == this->owners.end() || owner->second.deprioritisedUntil <= now;
    });
    // This VM may be able to reach the endpoint even if none of the owners can.
    if (std::none_of(all.begin(), all.end(), [this](const FleetMember& member) { return member.vm == this->selfVm; }))
        all.push_back({ this->selfVm, {}, "", 0, false });
    return all;
}

RelayChannel Relay::channelTo(const std::string& address)
{
    Owner& owner = this->owners[address];
    if (!owner.channel) {
        owner.channel = this->transport.open(address);
        this->addresses[owner.channel] = address;
    }
    return owner.channel;
}

bool Relay::hasAnsweredRecently(const std::string& address) const
{
    const auto known = this->owners.find(address);
    if (known == this->owners.end() || !known->second.connectedAt)
        return false;
    const Instant last = std::max(known->second.lastMessageAt, *known->second.connectedAt);
    return this->timers.now() - last <= this->settings.recentAnswerTime;
}

void Relay::closeSilentOwner(const std::string& address)
{
    const RelayChannel channel = this->owners[address].channel;
    if (!channel)
        return;
    this->transport.close(channel);
    this->onRelayChannelClosed(channel);
}

std::shared_ptr<Relay::Link> Relay::findLink(RelayChannel channel, uint64_t number) const
{
    const auto known = this->links.find(number);
    const auto link = known == this->links.end() ? nullptr : known->second.lock();
    return link && link->currentChannel() == channel ? link : nullptr;
}

void Relay::onRelayMessage(RelayChannel channel, RelayMessage message)
{
    if (const auto* open = std::get_if<RelayOpen>(&message)) {
        this->server.handleOpen(channel, *open);
    } else if (const auto* batch = std::get_if<RelayBatch>(&message)) {
        this->server.handleBatch(channel, *batch);
    } else if (const auto* close = std::get_if<RelayClose>(&message)) {
        this->server.handleClose(channel, *close);
    } else {
        if (const auto address = this->addresses.find(channel); address != this->addresses.end()) {
            Owner& owner = this->owners[address->second];
            owner.lastMessageAt = this->timers.now();
            owner.backoff = {};
        }
        if (const auto* opened = std::get_if<RelayOpened>(&message)) {
            if (const auto address = this->addresses.find(channel); address != this->addresses.end())
                this->owners[address->second].guardsBatches = opened->guardsBatches;
            if (const auto link = this->findLink(channel, opened->link))
                link->linkOpened();
        } else if (auto* answers = std::get_if<RelayAnswers>(&message)) {
            if (const auto link = this->findLink(channel, answers->link))
                link->linkAnswered(std::move(answers->answers));
        } else if (const auto* failed = std::get_if<RelayFailed>(&message)) {
            if (const auto link = this->findLink(channel, failed->link))
                link->linkFailed(failed->failure, failed->code, failed->message);
        }
    }
}

void Relay::onRelayChannelConnected(RelayChannel channel)
{
    const auto known = this->addresses.find(channel);
    if (known == this->addresses.end())
        return;
    Owner& owner = this->owners[known->second];
    owner.connectedAt = this->timers.now();
    this->cancelConnectTimer(owner);
    this->channelSchedule.recordConnected(known->second);
}

void Relay::onRelayChannelClosed(RelayChannel channel)
{
    const auto known = this->addresses.find(channel);
    if (known == this->addresses.end()) {
        this->server.handleChannelClosed(channel);
        return;
    }
    Owner& owner = this->owners[known->second];
    owner.channel = 0;
    owner.guardsBatches = false;
    owner.connectedAt.reset();
    this->cancelConnectTimer(owner);
    owner.backoff
        = std::clamp(2 * owner.backoff, this->settings.silentOwnerBackoff, this->settings.maxSilentOwnerBackoff);
    owner.deprioritisedUntil = this->timers.now() + owner.backoff;
    this->channelSchedule.recordClosed(known->second, this->timers.now());
    this->scheduleChannels();
    this->addresses.erase(known);
    std::vector<std::shared_ptr<Link>> ended;
    for (const auto& [number, weak] : this->links) {
        if (const auto link = weak.lock(); link && link->currentChannel() == channel)
            ended.push_back(link);
    }
    for (const auto& link : ended)
        link->handleChannelClosed();
}

void Relay::shutDown()
{
    this->stopOpeningAhead();
    this->pools.retireAll();
}

} // namespace Lavendervane
