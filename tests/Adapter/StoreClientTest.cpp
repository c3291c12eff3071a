#include "StoreClient.h"
#include "StoreStandIn.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <vector>

using namespace Lavendervane;
using namespace Lavendervane::Adapter;
using namespace std::chrono_literals;

namespace {

struct StoreClientFixture {
    TableReply await(const std::optional<TableReply>& reply)
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        while (!reply && std::chrono::steady_clock::now() < deadline)
            this->context.run_one_for(50ms);
        BOOST_REQUIRE(reply.has_value());
        return *reply;
    }

    TableReply read(const std::string& key)
    {
        std::optional<TableReply> reply;
        this->client.readRow(key, [&reply](TableReply answer) { reply = std::move(answer); });
        return this->await(reply);
    }

    TableReply write(const std::string& key, uint64_t revision, uint64_t generation)
    {
        TableTransaction transaction;
        transaction.conditions.push_back({ key, revision });
        transaction.writes.push_back({ key, "new" });
        transaction.generation = generation;
        std::optional<TableReply> reply;
        this->client.transact(transaction, [&reply](TableReply answer) { reply = std::move(answer); });
        return this->await(reply);
    }

    boost::asio::io_context context;
    StoreStandIn store { context };
    StoreClient client { context, store.address() };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StoreClientTest, StoreClientFixture)

BOOST_AUTO_TEST_CASE(Transaction_WithinGeneration_IsDone)
{
    BOOST_TEST(this->read("row").generation == 1U);
    BOOST_TEST((this->write("row", 0, 1).result.status == TableStatus::Done));
    BOOST_TEST((this->write("row", 0, 1).result.status == TableStatus::Conflict));
    BOOST_TEST(this->read("row").result.rows.front().value == "new");
}

// Guards against a write that counts as done, although its condition held for a row of another history.
BOOST_AUTO_TEST_CASE(Transaction_RunAfterRestore_IsUnknown)
{
    BOOST_TEST(this->read("row").generation == 1U);
    this->store.restore();
    const TableReply reply = this->write("row", 0, 1);
    BOOST_TEST((reply.result.status == TableStatus::Unknown));
    BOOST_TEST(reply.generation == 2U);
}

// Guards against a write on a condition that was read before a restore that is already known.
BOOST_AUTO_TEST_CASE(Transaction_RestoreIsKnown_IsNotSent)
{
    this->read("row");
    this->store.restore();
    this->read("row");
    BOOST_TEST((this->write("row", 0, 1).result.status == TableStatus::NotSent));
    BOOST_TEST(this->store.version() == 0U);
}

// Guards against a delayed answer with content that has been lost.
BOOST_AUTO_TEST_CASE(Answer_OfEarlierGeneration_CountsAsMissing)
{
    this->read("row");
    this->store.restore();
    BOOST_TEST(this->read("row").generation == 2U);
    this->store.reportEarlierGeneration();
    BOOST_TEST((this->read("row").result.status == TableStatus::NotSent));
    BOOST_TEST((this->write("row", 0, 0).result.status == TableStatus::Unknown));
}

// Users must drop what they know before they see an answer of the new generation.
BOOST_AUTO_TEST_CASE(Restore_SeenInAnswer_IsReportedOnceAndFirst)
{
    std::vector<uint64_t> reported;
    this->client.onRestored([&reported](uint64_t generation) { reported.push_back(generation); });
    this->read("row");
    BOOST_TEST(reported.empty());
    this->store.restore();
    size_t reportedBeforeAnswer = 0;
    std::optional<TableReply> reply;
    this->client.readRow("row", [&](TableReply answer) {
        reportedBeforeAnswer = reported.size();
        reply = std::move(answer);
    });
    this->await(reply);
    this->read("row");
    BOOST_TEST(reportedBeforeAnswer == 1U);
    BOOST_TEST((reported == std::vector<uint64_t> { 2 }));
}

BOOST_AUTO_TEST_SUITE_END()
