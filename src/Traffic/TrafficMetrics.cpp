#include "Traffic/TrafficMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace Lavendervane {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;

// Endpoints can send arbitrary codes. Codes that are not listed here are counted as "other", which bounds the number of
// time series.
static constexpr std::array<std::string_view, 31> knownCodes = { "bad_request", "body_too_large", "busy",
    "configuration_too_old", "connection_lost", "deadline", "endpoint_leaving", "endpoint_timeout",
    "endpoint_unreachable", "idempotency_conflict", "invalid_key", "invalid_session", "key_required",
    "malformed_answer", "no_majority", "no_primary", "no_transaction", "not_allowed", "not_covered", "not_primary",
    "not_ready", "peer_unreachable", "queue_full", "rate_limited", "session_too_large", "too_many_connections",
    "transaction_lost", "transaction_open", "unconfirmed", "unknown_group", "wrong_term" };

struct TrafficMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : requests(BuildCounter()
                       .Name("lavendervane_requests_total")
                       .Help("Requests of callers by outcome and error code")
                       .Register(registry))
        , reads(BuildCounter()
                    .Name("lavendervane_reads_total")
                    .Help("Reads answered, by role of the endpoint")
                    .Register(registry))
        , confirmations(BuildCounter()
                            .Name("lavendervane_confirmations_total")
                            .Help("Waits for a majority by result")
                            .Register(registry))
        , forwards(BuildCounter()
                       .Name("lavendervane_forwards_total")
                       .Help("Requests forwarded to other VMs by result")
                       .Register(registry))
        , queued(BuildGauge()
                     .Name("lavendervane_queue_length")
                     .Help("Requests that wait in front of an endpoint")
                     .Register(registry))
        , connections(BuildGauge()
                          .Name("lavendervane_endpoint_connections")
                          .Help("Connections of this VM to an endpoint")
                          .Register(registry))
        , done(requests.Add({ { "outcome", "done" }, { "code", "" } }))
        , primaryReads(reads.Add({ { "role", "primary" } }))
        , replicaReads(reads.Add({ { "role", "replica" } }))
        , confirmed(confirmations.Add({ { "result", "confirmed" } }))
        , unconfirmed(confirmations.Add({ { "result", "failed" } }))
        , forwarded(forwards.Add({ { "result", "answered" } }))
        , forwardFailed(forwards.Add({ { "result", "failed" } }))
        , retries(BuildCounter()
                      .Name("lavendervane_retries_total")
                      .Help("Attempts beyond the first of a request")
                      .Register(registry)
                      .Add({}))
        , latency(BuildHistogram()
                      .Name("lavendervane_request_seconds")
                      .Help("Time from a complete request to its response")
                      .Register(registry)
                      .Add({},
                          prometheus::Histogram::BucketBoundaries {
                              0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 }))
    {
    }

    prometheus::Family<Counter>& requests;
    prometheus::Family<Counter>& reads;
    prometheus::Family<Counter>& confirmations;
    prometheus::Family<Counter>& forwards;
    prometheus::Family<prometheus::Gauge>& queued;
    prometheus::Family<prometheus::Gauge>& connections;
    Counter& done;
    Counter& primaryReads;
    Counter& replicaReads;
    Counter& confirmed;
    Counter& unconfirmed;
    Counter& forwarded;
    Counter& forwardFailed;
    Counter& retries;
    prometheus::Histogram& latency;
};

TrafficMetrics::TrafficMetrics(prometheus::Registry& registry)
    : families(std::make_unique<Families>(registry))
{
}

TrafficMetrics::~TrafficMetrics() = default;

void TrafficMetrics::recordRequest(Outcome outcome, const std::string& code, Duration latency)
{
    this->families->latency.Observe(std::chrono::duration<double>(latency).count());
    if (outcome == Outcome::Done) {
        this->families->done.Increment();
        return;
    }
    const bool known = std::find(knownCodes.begin(), knownCodes.end(), code) != knownCodes.end();
    this->families->requests
        .Add({ { "outcome", std::string(toString(outcome)) }, { "code", known ? code : std::string("other") } })
        .Increment();
}

void TrafficMetrics::countRead(bool atPrimary)
{
    (atPrimary ? this->families->primaryReads : this->families->replicaReads).Increment();
}

void TrafficMetrics::countConfirmation(bool confirmed)
{
    (confirmed ? this->families->confirmed : this->families->unconfirmed).Increment();
}

void TrafficMetrics::countForward(bool answered)
{
    (answered ? this->families->forwarded : this->families->forwardFailed).Increment();
}

void TrafficMetrics::countRetry() { this->families->retries.Increment(); }

EndpointGauges TrafficMetrics::addEndpoint(const EndpointId& endpoint)
{
    return { &this->families->queued.Add({ { "endpoint", endpoint.str() } }),
        &this->families->connections.Add({ { "endpoint", endpoint.str() } }) };
}

void TrafficMetrics::removeEndpoint(const EndpointGauges& gauges)
{
    this->families->queued.Remove(gauges.queued);
    this->families->connections.Remove(gauges.connections);
}

} // namespace Lavendervane
