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
        , servedStatements(BuildCounter()
                               .Name("lavendervane_statements_served_total")
                               .Help("Statements that were done, by role of the endpoint")
                               .Register(registry))
        , endpointChanges(BuildCounter()
                              .Name("lavendervane_endpoint_changes_total")
                              .Help("Endpoints that became reachable or unreachable from this VM")
                              .Register(registry))
        , brokenConnections(BuildCounter()
                                .Name("lavendervane_endpoint_connections_broken_total")
                                .Help("Open connections to endpoints that failed, by whether a statement was pending")
                                .Register(registry))
        , repeatedAnswers(BuildCounter()
                              .Name("lavendervane_repeated_answers_total")
                              .Help("Answers that endpoints sent again and that were ignored")
                              .Register(registry)
                              .Add({}))
        , refusedMessages(BuildCounter()
                              .Name("lavendervane_messages_refused_total")
                              .Help("Messages of callers that are not part of the protocol")
                              .Register(registry)
                              .Add({}))
        , aheadConnections(BuildCounter()
                               .Name("lavendervane_connections_opened_ahead_total")
                               .Help("Connections that were opened before statements needed them, by result")
                               .Register(registry))
        , delayedTransactions(
              BuildCounter()
                  .Name("lavendervane_transactions_delayed_total")
                  .Help("Transactions that waited because idle callers of their organisation held too many connections")
                  .Register(registry)
                  .Add({}))
        , earlyLinks(BuildCounter()
                         .Name("lavendervane_links_opened_early_total")
                         .Help("Links through owner VMs that were used without waiting for their confirmation")
                         .Register(registry)
                         .Add({}))
        , repeatedBatches(BuildCounter()
                              .Name("lavendervane_relay_batches_repeated_total")
                              .Help("Batches that an owner VM has not run and that were passed on to the next one")
                              .Register(registry)
                              .Add({}))
        , promotions(BuildCounter()
                         .Name("lavendervane_promotion_orders_total")
                         .Help("Orders to promote by this VM, by result")
                         .Register(registry))
        , feedRechecks(BuildCounter()
                           .Name("lavendervane_feed_rechecks_total")
                           .Help("Tables whose changes were asked for anew, because the feed may have gone silent")
                           .Register(registry))
        , drainingStatements(BuildCounter()
                                 .Name("lavendervane_statements_to_draining_total")
                                 .Help("Statements that this VM passed on to endpoints that are leaving")
                                 .Register(registry)
                                 .Add({}))
        , guardedBatches(
              BuildCounter()
                  .Name("lavendervane_guarded_batches_total")
                  .Help("Begins sent together with a statement, by path and by whether the statement was sent")
                  .Register(registry))
        , guardedByOwner(guardedBatches.Add({ { "path", "owner" }, { "rest", "sent" } }))
        , guardedDirectly(guardedBatches.Add({ { "path", "direct" }, { "rest", "sent" } }))
        , evacuatedTransactions(BuildCounter()
                                    .Name("lavendervane_transactions_evacuated_total")
                                    .Help("Open transactions that were rolled back because of an evacuation")
                                    .Register(registry)
                                    .Add({}))
        , doneStatements(statements.Add({ { "code", "done" } }))
        , servedAtPrimary(servedStatements.Add({ { "role", "primary" } }))
        , servedAtReplica(servedStatements.Add({ { "role", "replica" } }))
        , statementSeconds(
              BuildHistogram()
                  .Name("lavendervane_statement_seconds")
                  .Help("Time from a statement's arrival to its answer")
                  .Register(registry)
                  .Add({},
                      Histogram::BucketBoundaries { 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5 }))
        , sessions(addGauge(registry, "lavendervane_sessions", "Open sessions of callers"))
        , configurationVersion(addGauge(
              registry, "lavendervane_configuration_version", "Version of the configuration in force on this VM"))
        , limitShare(addGauge(registry, "lavendervane_limit_share_ratio", "Part of every limit that this VM holds"))
        , storeAvailable(
              addGauge(registry, "lavendervane_store_available", "1 if the platform's store answered last, else 0"))
        , evacuatedDataCentres(
              addGauge(registry, "lavendervane_evacuated_data_centres", "Data centres that are evacuated"))
        , groupsWithoutEndpoint(addGauge(registry, "lavendervane_groups_without_endpoint",
              "Groups that evacuations have left without an endpoint"))
        , blockedPromotions(addGauge(registry, "lavendervane_promotions_blocked",
              "Groups without a primary until replicas answer that may hold acknowledged commits"))
        , storeGeneration(addGauge(registry, "lavendervane_store_generation",
              "Generation of the store's content; rises when the store is restored from an older copy"))
    {
    }

    static Gauge& addGauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

    Family<Counter>& statements;
    Family<Counter>& servedStatements;
    Family<Counter>& endpointChanges;
    Family<Counter>& brokenConnections;
    Counter& repeatedAnswers;
    Counter& refusedMessages;
    Family<Counter>& aheadConnections;
    Counter& delayedTransactions;
    Counter& earlyLinks;
    Counter& repeatedBatches;
    Family<Counter>& promotions;
    Family<Counter>& feedRechecks;
    Counter& drainingStatements;
    Family<Counter>& guardedBatches;
    Counter& guardedByOwner;
    Counter& guardedDirectly;
    Counter& evacuatedTransactions;
    Counter& doneStatements;
    Counter& servedAtPrimary;
    Counter& servedAtReplica;
    Histogram& statementSeconds;
    Gauge& sessions;
    Gauge& configurationVersion;
    Gauge& limitShare;
    Gauge& storeAvailable;
    Gauge& evacuatedDataCentres;
    Gauge& groupsWithoutEndpoint;
    Gauge& blockedPromotions;
    Gauge& storeGeneration;
};

SessionMetrics::SessionMetrics(prometheus::Registry& registry)
    : families(std::make_unique<Families>(registry))
{
}

SessionMetrics::~SessionMetrics() = default;

void SessionMetrics::statementDone(bool atReplica, Duration duration)
{
    this->families->doneStatements.Increment();
    (atReplica ? this->families->servedAtReplica : this->families->servedAtPrimary).Increment();
    this->families->statementSeconds.Observe(std::chrono::duration<double>(duration).count());
}

void SessionMetrics::statementFailed(std::string_view code, Duration duration)
{
    this->families->statements.Add({ { "code", std::string(code) } }).Increment();
    this->families->statementSeconds.Observe(std::chrono::duration<double>(duration).count());
}

void SessionMetrics::endpointChanged(std::string_view change)
{
    this->families->endpointChanges.Add({ { "change", std::string(change) } }).Increment();
}

void SessionMetrics::connectionBroke(bool statementPending)
{
    this->families->brokenConnections.Add({ { "statement_pending", statementPending ? "true" : "false" } }).Increment();
}

void SessionMetrics::repeatedAnswerIgnored() { this->families->repeatedAnswers.Increment(); }

void SessionMetrics::messageRefused() { this->families->refusedMessages.Increment(); }

void SessionMetrics::connectionOpenedAhead(bool opened)
{
    this->families->aheadConnections.Add({ { "result", opened ? "opened" : "failed" } }).Increment();
}

void SessionMetrics::transactionDelayed() { this->families->delayedTransactions.Increment(); }

void SessionMetrics::linkOpenedEarly() { this->families->earlyLinks.Increment(); }

void SessionMetrics::batchRepeated() { this->families->repeatedBatches.Increment(); }

void SessionMetrics::sentToDraining() { this->families->drainingStatements.Increment(); }

void SessionMetrics::guardedBatchEnded(std::string_view path, bool isRestWithheld)
{
    if (!isRestWithheld && path == "owner")
        this->families->guardedByOwner.Increment();
    else if (!isRestWithheld && path == "direct")
        this->families->guardedDirectly.Increment();
    else
        this->families->guardedBatches
            .Add({ { "path", std::string(path) }, { "rest", isRestWithheld ? "withheld" : "sent" } })
            .Increment();
}

void SessionMetrics::setSessions(size_t count) { this->families->sessions.Set(static_cast<double>(count)); }

void SessionMetrics::setConfigurationVersion(uint64_t version)
{
    this->families->configurationVersion.Set(static_cast<double>(version));
}

void SessionMetrics::setLimitShare(double ratio) { this->families->limitShare.Set(ratio); }

void SessionMetrics::setStoreAvailable(bool available) { this->families->storeAvailable.Set(available ? 1 : 0); }

void SessionMetrics::setStoreGeneration(uint64_t generation)
{
    this->families->storeGeneration.Set(static_cast<double>(generation));
}

void SessionMetrics::setEvacuatedDataCentres(size_t count)
{
    this->families->evacuatedDataCentres.Set(static_cast<double>(count));
}

void SessionMetrics::setGroupsWithoutEndpoint(size_t count)
{
    this->families->groupsWithoutEndpoint.Set(static_cast<double>(count));
}

void SessionMetrics::setBlockedPromotions(size_t groups)
{
    this->families->blockedPromotions.Set(static_cast<double>(groups));
}

void SessionMetrics::transactionEvacuated() { this->families->evacuatedTransactions.Increment(); }

void SessionMetrics::feedRechecked(std::string_view reason)
{
    this->families->feedRechecks.Add({ { "reason", std::string(reason) } }).Increment();
}

void SessionMetrics::promotionOrdered(std::string_view result)
{
    this->families->promotions.Add({ { "result", std::string(result) } }).Increment();
}

} // namespace Lavendervane
