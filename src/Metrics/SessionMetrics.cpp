#include "Metrics/SessionMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

namespace Lavendervane {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

struct SessionMetrics::Families {
    explicit Families(prometheus::Registry& registry)
        : statements(BuildCounter()
                         .Name("lavendervane_statements_total")
                         .Help("Statements that an endpoint had to run, by code of the answer")
                         .Register(registry))
        , places(BuildCounter()
                     .Name("lavendervane_statements_served_total")
                     .Help("Statements that were done, by role of the endpoint")
                     .Register(registry))
        , endpointChanges(BuildCounter()
                              .Name("lavendervane_endpoint_changes_total")
                              .Help("Endpoints that became reachable or unreachable from this VM")
                              .Register(registry))
        , promotions(BuildCounter()
                         .Name("lavendervane_promotion_orders_total")
                         .Help("Orders to promote by this VM, by result")
                         .Register(registry))
        , done(statements.Add({ { "code", "done" } }))
        , atPrimary(places.Add({ { "role", "primary" } }))
        , atReplica(places.Add({ { "role", "replica" } }))
        , seconds(
              BuildHistogram()
                  .Name("lavendervane_statement_seconds")
                  .Help("Time from a statement's arrival to its answer")
                  .Register(registry)
                  .Add({},
                      Histogram::BucketBoundaries { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5 }))
        , sessions(gauge(registry, "lavendervane_sessions", "Open sessions of callers"))
        , configuration(
              gauge(registry, "lavendervane_configuration_version", "Version of the configuration in force on this VM"))
        , limitShare(gauge(registry, "lavendervane_limit_share_ratio", "Part of every limit that this VM holds"))
        , store(gauge(registry, "lavendervane_store_available", "1 if the platform's store answered last, else 0"))
    {
    }

    static Gauge& gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    Family<Counter>& statements;
    Family<Counter>& places;
    Family<Counter>& endpointChanges;
    Family<Counter>& promotions;
    Counter& done;
    Counter& atPrimary;
    Counter& atReplica;
    Histogram& seconds;
    Gauge& sessions;
    Gauge& configuration;
    Gauge& limitShare;
    Gauge& store;
};

SessionMetrics::SessionMetrics(prometheus::Registry& registry)
    : families(std::make_unique<Families>(registry))
{
}

SessionMetrics::~SessionMetrics() = default;

void SessionMetrics::statementDone(bool atReplica, Duration took)
{
    this->families->done.Increment();
    (atReplica ? this->families->atReplica : this->families->atPrimary).Increment();
    this->families->seconds.Observe(std::chrono::duration<double>(took).count());
}

void SessionMetrics::statementFailed(std::string_view code, Duration took)
{
    this->families->statements.Add({ { "code", std::string(code) } }).Increment();
    this->families->seconds.Observe(std::chrono::duration<double>(took).count());
}

void SessionMetrics::endpointChanged(std::string_view change)
{
    this->families->endpointChanges.Add({ { "change", std::string(change) } }).Increment();
}

void SessionMetrics::setSessions(size_t count) { this->families->sessions.Set(static_cast<double>(count)); }

void SessionMetrics::setConfigurationVersion(uint64_t version)
{
    this->families->configuration.Set(static_cast<double>(version));
}

void SessionMetrics::setLimitShare(double ratio) { this->families->limitShare.Set(ratio); }

void SessionMetrics::setStoreAvailable(bool available) { this->families->store.Set(available ? 1 : 0); }

void SessionMetrics::promotionOrdered(std::string_view result)
{
    this->families->promotions.Add({ { "result", std::string(result) } }).Increment();
}

} // namespace Lavendervane
