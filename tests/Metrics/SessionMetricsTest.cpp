#include "Metrics/SessionMetrics.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <string>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

struct SessionMetricsFixture {
    bool containsLine(const std::string& line)
    {
        return prometheus::TextSerializer().Serialize(this->registry.Collect()).find(line + "\n") != std::string::npos;
    }

    prometheus::Registry registry;
    SessionMetrics metrics { registry };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SessionMetricsTest, SessionMetricsFixture)

// Operators monitor the share of reads at replicas and the refused statements by reason, so these must be counted
// separately.
BOOST_AUTO_TEST_CASE(Statements_DoneAndFailed_AreCountedByRoleAndCode)
{
    this->metrics.statementDone(true, 3ms);
    this->metrics.statementDone(true, 3ms);
    this->metrics.statementDone(false, 30ms);
    this->metrics.statementFailed("busy", 700ms);
    BOOST_TEST(this->containsLine("lavendervane_statements_total{code=\"done\"} 3"));
    BOOST_TEST(this->containsLine("lavendervane_statements_total{code=\"busy\"} 1"));
    BOOST_TEST(this->containsLine("lavendervane_statements_served_total{role=\"replica\"} 2"));
    BOOST_TEST(this->containsLine("lavendervane_statement_seconds_count 4"));
    BOOST_TEST(this->containsLine("lavendervane_statement_seconds_bucket{le=\"0.005\"} 2"));
}

BOOST_AUTO_TEST_CASE(State_Changes_IsShown)
{
    this->metrics.setSessions(7);
    this->metrics.setConfigurationVersion(12);
    this->metrics.setLimitShare(0.25);
    this->metrics.setStoreAvailable(false);
    this->metrics.promotionOrdered("accepted");
    this->metrics.endpointChanged("unreachable");
    this->metrics.connectionBroke(true);
    this->metrics.messageRefused();
    this->metrics.repeatedAnswerIgnored();
    this->metrics.queueReported("db-1", { 12, 3, 2, 1 });
    this->metrics.queueReported("db-1", { 4, 1, 0, 0 });
    for (const char* line :
        { "lavendervane_sessions 7", "lavendervane_configuration_version 12", "lavendervane_limit_share_ratio 0.25",
            "lavendervane_store_available 0", "lavendervane_promotion_orders_total{result=\"accepted\"} 1",
            "lavendervane_endpoint_changes_total{change=\"unreachable\"} 1",
            "lavendervane_endpoint_connections_broken_total{statement_pending=\"true\"} 1",
            "lavendervane_messages_refused_total 1", "lavendervane_repeated_answers_total 1",
            "lavendervane_endpoint_queue_waiting{endpoint=\"db-1\"} 4",
            "lavendervane_endpoint_queue_refusals_total{endpoint=\"db-1\",reason=\"arrival\"} 4",
            "lavendervane_endpoint_queue_refusals_total{endpoint=\"db-1\",reason=\"displaced\"} 2",
            "lavendervane_endpoint_queue_refusals_total{endpoint=\"db-1\",reason=\"expired\"} 1" })
        BOOST_TEST(this->containsLine(line), line);
}

BOOST_AUTO_TEST_SUITE_END()
