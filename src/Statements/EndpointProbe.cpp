#include "Statements/EndpointProbe.h"

#include <memory>
#include <utility>

namespace Lavendervane {

namespace {

class EndpointProbe : public LinkListener, public std::enable_shared_from_this<EndpointProbe> {
public:
    EndpointProbe(Timers& timers, Statement statement, Instant deadline, EndpointProbeCallback callback)
        : timers(timers)
        , statement(std::move(statement))
        , deadline(deadline)
        , callback(std::move(callback))
    {
    }

    void start(EndpointConnector& connector, const LinkTarget& target)
    {
        // The timer keeps the probe alive until it has finished.
        this->timer = this->timers.schedule(this->deadline, [self = this->shared_from_this()] { self->finish({}); });
        this->link = connector.connect(target, *this);
    }

    void linkConnected() override { this->isConnected = true; }
    void linkOpened() override { this->link->send({ this->statement }, { this->deadline }); }
    void linkAnswered(std::vector<EndpointAnswer> answers) override
    {
        this->finish({ answers.empty() ? std::nullopt : answers.back().status });
    }
    void linkFailed(LinkFailure failure, AnswerCode code, const std::string&) override
    {
        const bool isOther = failure == LinkFailure::Rejected && code == AnswerCode::WrongEndpoint;
        this->isConnected = this->isConnected && !isOther;
        this->finish({ std::nullopt, failure == LinkFailure::Refused || isOther });
    }

private:
    void finish(EndpointProbeResult result)
    {
        result.isListening = this->isConnected;
        const auto self = this->shared_from_this();
        this->timers.cancel(this->timer);
        this->link->close();
        if (auto done = std::exchange(this->callback, nullptr))
            done(result);
    }

    Timers& timers;
    Statement statement;
    Instant deadline;
    EndpointProbeCallback callback;
    Timers::Handle timer {};
    bool isConnected = false;
    std::shared_ptr<EndpointLink> link;
};

} // namespace

void probeEndpoint(EndpointConnector& connector, Timers& timers, const LinkTarget& target, const Statement& statement,
    Instant deadline, EndpointProbeCallback callback)
{
    std::make_shared<EndpointProbe>(timers, statement, deadline, std::move(callback))->start(connector, target);
}

} // namespace Lavendervane
