#include "Promotion/ReplicaRecorder.h"
#include "Promotion/PromotionCoordinator.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Lavendervane;
using namespace std::chrono_literals;

namespace {

const GroupId stock("stock");
const EndpointId a("a");
const EndpointId b("b");
const EndpointId c("c");

/// A recorder with a table that answers at once.
struct RecorderFixture {
    RecorderFixture() { this->handle(VmsChanged { { VmId("vm-1") } }); }

    void handle(const RecorderEvent& event)
    {
        this->query.reset();
        this->foundPause = false;
        this->process(event);
    }

    void process(const RecorderEvent& event)
    {
        for (const RecorderEffect& effect : this->recorder.handle(event, this->now)) {
            if (const auto* timer = std::get_if<SetRecorderTimer>(&effect))
                this->timer = timer->when;
            if (const auto* sent = std::get_if<QueryEndpointStatuses>(&effect))
                this->query = *sent;
            this->foundPause = this->foundPause || std::holds_alternative<PausedReplicasFound>(effect);
            if (std::holds_alternative<ReadGroupRecord>(effect))
                this->answer(TableStatus::Done);
            if (const auto* write = std::get_if<WriteGroupRecord>(&effect)) {
                ++this->writes;
                const bool holds = write->transaction.conditions.front().revision == this->row.revision;
                if (holds)
                    this->row = { write->transaction.writes.front().key, this->row.revision + 1,
                        write->transaction.writes.front().value };
                this->answer(holds ? TableStatus::Done : TableStatus::Conflict);
            }
        }
    }

    void answer(TableStatus status)
    {
        TableReply reply;
        reply.result = { status, { this->row } };
        reply.revision = this->row.revision;
        this->process(GroupRecordAnswered { stock, reply });
    }

    void registry(const std::map<EndpointId, std::string>& addresses, uint32_t synchronousReplicas = 1)
    {
        RegistryUpdated update { {}, { { stock, synchronousReplicas } } };
        for (const auto& [id, address] : addresses) {
            RegisteredEndpoint endpoint;
            endpoint.id = id;
            endpoint.group = stock;
            endpoint.address = address;
            endpoint.role = id == a ? EndpointRole::Primary : EndpointRole::Replica;
            endpoint.startedAt = this->starts.count(id) ? this->starts.at(id) : 1;
            update.endpoints.push_back(endpoint);
        }
        this->handle(update);
    }

    void fireTimer()
    {
        this->now = std::max(this->now, this->timer);
        this->handle(RecorderTimerFired {});
    }

    static EndpointStatus status(uint64_t position, EndpointRole role = EndpointRole::Replica)
    {
        return { role, 1, { { 1, {} }, position }, 0 };
    }

    void answerQuery(const std::map<EndpointId, EndpointStatus>& statuses, const std::set<EndpointId>& refused = {})
    {
        BOOST_REQUIRE(this->query);
        this->handle(ReplicaStatusesReceived { { stock, this->query->attempt, statuses, refused } });
    }

    /// Answers the query and continues until the next one.
    void answerAndContinue(
        const std::map<EndpointId, EndpointStatus>& statuses, const std::set<EndpointId>& refused = {})
    {
        this->answerQuery(statuses, refused);
        if (!this->query)
            this->fireTimer();
    }

    std::vector<EndpointId> recorded() const
    {
        std::vector<EndpointId> ids;
        for (const auto& [run, address] : GroupRecord::parse(this->row).members)
            ids.push_back(run.endpoint);
        return ids;
    }

    std::map<EndpointId, uint64_t> starts; ///< 1 if missing
    const std::map<EndpointId, std::string> all { { a, "1" }, { b, "2" }, { c, "3" } };
    ReplicaRecorder recorder { VmId("vm-1"), {} };
    Instant now { 100s };
    Instant timer {};
    TableRow row { PromotionCoordinator::leaseKey(stock), 0, {} };
    std::optional<QueryEndpointStatuses> query;
    bool foundPause = false;
    size_t writes = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ReplicaRecorderTest, RecorderFixture)

// Groups without synchronous replication must cost nothing.
BOOST_AUTO_TEST_CASE(Group_WithoutSynchronousReplicas_CostsNothing)
{
    this->registry(this->all, 0);
    BOOST_TEST(this->writes == 0U);
    BOOST_TEST(!this->query);
    BOOST_TEST((this->timer == Instant {}));
}

// Guards against a replica that is forgotten although only it holds an acknowledged commit, also because it goes on
// receiving without an entry in the registry, and against one that holds up promotions although it has ended and the
// others have received all that it can hold.
BOOST_AUTO_TEST_CASE(Replica_Gone_IsRecordedUntilItHasEndedAndOthersHoldItsLog)
{
    for (const bool isRefused : { true, false }) {
        RecorderFixture fixture;
        const EndpointStatus primary = status(60, EndpointRole::Primary);
        fixture.registry(fixture.all);
        BOOST_TEST((fixture.recorded() == std::vector<EndpointId> { a, b, c }));
        fixture.registry({ { a, "1" }, { c, "3" } });
        fixture.answerAndContinue({ { a, primary }, { b, status(60) }, { c, status(60) } });
        BOOST_REQUIRE(fixture.query);
        BOOST_TEST((fixture.query->unregistered == std::map<EndpointId, std::string> { { b, "2" } }));
        fixture.answerAndContinue(
            { { a, primary }, { c, status(60) } }, isRefused ? std::set { b } : std::set<EndpointId> {});
        if (!isRefused) {
            fixture.now += 110s;
            fixture.answerAndContinue({ { a, primary }, { c, status(60) } });
            BOOST_TEST((fixture.recorded() == std::vector<EndpointId> { a, b, c }));
            fixture.now += 10s;
            fixture.answerAndContinue({ { a, primary }, { c, status(60) } });
        }
        fixture.answerAndContinue({ { a, status(70, EndpointRole::Primary) }, { c, status(69) } });
        BOOST_TEST((fixture.recorded() == std::vector<EndpointId> { a, b, c }));
        fixture.answerAndContinue({ { a, status(80, EndpointRole::Primary) }, { c, status(70) } });
        BOOST_TEST((fixture.recorded() == std::vector<EndpointId> { a, c }));
        BOOST_TEST(GroupRecord::parse(fixture.row).primary == a);
        BOOST_TEST(fixture.writes == 2U);
    }
}

// Guards against a bound from before the replica was gone: it may have received more.
BOOST_AUTO_TEST_CASE(Replica_GoneWhileQueryIsUnderWay_AnswerDoesNotCount)
{
    this->registry(this->all);
    this->now = this->timer;
    this->fireTimer();
    BOOST_REQUIRE(this->query);
    const uint64_t before = this->query->attempt;
    this->registry({ { a, "1" }, { c, "3" } });
    this->handle(
        ReplicaStatusesReceived { { stock, before, { { a, status(60, EndpointRole::Primary) }, { c, status(60) } } } });
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
}

// Guards against a replica that is forgotten because the primary went with it, also by VMs that start afterwards.
BOOST_AUTO_TEST_CASE(Replica_GoneWithPrimary_StaysRecordedAfterRestart)
{
    this->registry(this->all);
    this->recorder = { VmId("vm-1"), {} };
    this->handle(VmsChanged { { VmId("vm-1") } });
    this->registry({ { c, "3" } });
    this->fireTimer();
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
}

// Guards against a run that is forgotten because a later one, or another endpoint at its address, is registered: that
// one may have started without the log.
BOOST_AUTO_TEST_CASE(Replica_StartsAgain_EarlierRunsAreRecordedUntilLogIsReceived)
{
    const EndpointId d("d");
    for (const EndpointId& successor : { b, d }) {
        RecorderFixture fixture;
        fixture.registry(fixture.all);
        const std::map<EndpointId, std::string> next { { a, "1" }, { successor, "2" }, { c, "3" } };
        for (const uint64_t start : { 2, 3 }) {
            fixture.starts[successor] = start;
            fixture.registry(next);
        }
        BOOST_TEST(fixture.recorded().size() == 5U);
        fixture.handle(ReplicaStatusesReceived { { stock, 0, {} } }); // to the query that the first start had caused
        fixture.answerAndContinue(
            { { a, status(60, EndpointRole::Primary) }, { successor, status(0) }, { c, status(59) } });
        BOOST_TEST(fixture.recorded().size() == 5U);
        fixture.answerAndContinue(
            { { a, status(70, EndpointRole::Primary) }, { successor, status(60) }, { c, status(59) } });
        BOOST_TEST(
            (fixture.recorded() == std::vector<EndpointId> { a, successor == b ? b : c, successor == b ? c : d }));
    }
}

// Guards against a replica that is forgotten after its end, starts again with its log while it is cut off from the
// store, and then holds the only copy of acknowledged commits.
BOOST_AUTO_TEST_CASE(Replica_EndedRunsAgainUnregistered_IsRecordedAgain)
{
    const EndpointStatus primary = status(60, EndpointRole::Primary);
    this->registry(this->all);
    this->registry({ { a, "1" }, { c, "3" } });
    this->answerAndContinue({ { a, primary }, { c, status(60) } }, { b });
    this->answerAndContinue({ { a, primary }, { c, status(60) } });
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, c }));
    const Instant coveredAt = this->now;
    if (!this->query)
        this->fireTimer();
    BOOST_REQUIRE(this->query);
    BOOST_TEST((this->query->unregistered == std::map<EndpointId, std::string> { { b, "2" } }));
    this->answerAndContinue({}, { b });
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, c }));
    this->answerAndContinue({ { b, status(50) } });
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
    BOOST_TEST((this->now <= coveredAt + 2s));
    // Its run is not known, so that any later entry of the endpoint stands for it.
    this->starts[b] = 7;
    this->registry(this->all);
    BOOST_TEST(GroupRecord::parse(this->row).members.size() == 3U);
}

// Guards against an ended replica that nobody asks any more because the VMs that knew it have restarted, or because the
// table was restored from a copy that does not name it.
BOOST_AUTO_TEST_CASE(Replica_EndedBeforeRestartOrRestore_IsStillAsked)
{
    const std::map<EndpointId, std::string> ended { { b, "2" } };
    for (const bool isRestored : { false, true }) {
        RecorderFixture fixture;
        fixture.row.revision = 7;
        fixture.row.value = R"({"runs":[["a",1,"1"],["c",1,"3"]],"ended":[["b",1,"2"]],"primary":"a"})";
        fixture.registry({ { a, "1" }, { c, "3" } });
        if (!fixture.query)
            fixture.fireTimer();
        BOOST_REQUIRE(fixture.query);
        BOOST_TEST((fixture.query->unregistered == ended));
        if (isRestored) {
            fixture.answerQuery({}, { b });
            fixture.row.value = "{}";
            fixture.handle(TableRestored {});
            fixture.now += 1s;
            fixture.fireTimer();
            BOOST_REQUIRE(fixture.query);
            BOOST_TEST((fixture.query->unregistered == ended));
            BOOST_TEST(GroupRecord::parse(fixture.row).ended.size() == 1U);
        }
        fixture.answerAndContinue({ { b, status(70) } });
        BOOST_TEST((fixture.recorded() == std::vector<EndpointId> { a, b, c }));
    }
}

// Guards against a rolling restart of the replicas after which a promotion waits for runs that have ended.
BOOST_AUTO_TEST_CASE(Replicas_StartAgainOneAfterAnother_OnlyNewRunsAreRecorded)
{
    this->registry(this->all);
    for (const EndpointId& restarted : { b, c }) {
        this->starts[restarted] = 2;
        this->registry(this->all);
        for (int round = 0; round < 2; ++round)
            this->answerAndContinue({ { a, status(60, EndpointRole::Primary) }, { b, status(60) }, { c, status(60) } });
        this->answerQuery({});
    }
    const GroupRecord record = GroupRecord::parse(this->row);
    BOOST_TEST(record.members.size() == 3U);
    BOOST_TEST((record.members.count({ b, 2 }) && record.members.count({ c, 2 })));
    BOOST_TEST(record.ended.empty());
}

// Guards against a replica that is taken for ended after a long silence, and dropped although it answers again.
BOOST_AUTO_TEST_CASE(Replica_SilentForLongAnswersAgain_HasNotEnded)
{
    const EndpointStatus primary = status(60, EndpointRole::Primary);
    this->registry(this->all);
    this->registry({ { a, "1" }, { c, "3" } });
    this->answerAndContinue({ { a, primary }, { c, status(60) } });
    this->now += 130s;
    this->answerAndContinue({ { a, primary }, { c, status(60) } });
    this->answerQuery({ { a, primary }, { b, status(61) }, { c, status(60) } });
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
}

// Guards against a row that grows with each replica that has ever left, and against queries to addresses that others
// have taken over.
BOOST_AUTO_TEST_CASE(Replicas_EndOneAfterAnother_NewestAreRemembered)
{
    std::map<EndpointId, std::string> present { { a, "1" }, { c, "3" } };
    for (uint64_t number = 1; number <= 12; ++number) {
        const EndpointId id("r" + std::to_string(number));
        this->starts[id] = number;
        present[id] = "1" + std::to_string(number);
        this->registry(present);
        if (this->query)
            this->answerQuery({});
        present.erase(id);
        this->registry(present);
        for (int round = 0; round < 3; ++round)
            this->answerAndContinue({ { a, status(60, EndpointRole::Primary) }, { c, status(60) } }, { id });
        BOOST_TEST(this->recorded().size() == 2U);
        this->answerQuery({});
    }
    BOOST_TEST(GroupRecord::parse(this->row).ended.size() == 8U);
    BOOST_TEST(GroupRecord::parse(this->row).ended.begin()->first.startedAt >= 5U);
    present[b] = "112";
    this->registry(present);
    BOOST_TEST(!GroupRecord::parse(this->row).ended.count({ EndpointId("r12"), 12 }));
}

// A row that an older version of the program has written tells no runs apart; it reads a newer row by endpoint.
BOOST_AUTO_TEST_CASE(Row_WrittenByOlderVersion_IsCompleted)
{
    this->row.value = R"({"members":{"a":"1","b":"2","c":"3"},"primary":"a"})";
    this->registry(this->all);
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
    BOOST_TEST(GroupRecord::parse(this->row).members.count({ b, 1 }) == 1U);
    BOOST_TEST(this->row.value.find(R"("members":{"a":"1","b":"2","c":"3"})") != std::string::npos);
}

// Guards against a record that a restore of the table has reset to a time before a replica joined.
BOOST_AUTO_TEST_CASE(Table_Restored_RecordIsCompletedAgain)
{
    this->registry(this->all);
    this->registry({ { a, "1" }, { c, "3" } });
    this->row.value = R"({"members":{"a":"1","c":"3"},"primary":"a"})";
    this->handle(TableRestored {});
    BOOST_TEST((this->recorded() == std::vector<EndpointId> { a, b, c }));
}

// Guards against a promotion lease that is overwritten.
BOOST_AUTO_TEST_CASE(Row_HoldsLease_IsKept)
{
    this->row = { this->row.key, 7, R"({"run":"other","until":9000,"term":4,"promoted":"a"})" };
    this->registry(this->all);
    const GroupRecord record = GroupRecord::parse(this->row);
    BOOST_TEST(record.run == "other");
    BOOST_TEST(record.until == 9000U);
    BOOST_TEST(record.leadership.term == 4U);
    BOOST_TEST(record.members.size() == 3U);
}

// Guards against replicas that receive nothing because the VM that paused them has ended.
BOOST_AUTO_TEST_CASE(Replica_StaysPaused_IsReported)
{
    this->registry(this->all);
    this->fireTimer();
    EndpointStatus held = status(50);
    held.heldTerm = 2;
    this->answerQuery({ { a, status(60, EndpointRole::Primary) }, { b, held }, { c, status(60) } });
    BOOST_TEST(this->foundPause);
}

BOOST_AUTO_TEST_SUITE_END()
