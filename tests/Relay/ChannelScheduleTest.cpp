#include "Relay/ChannelSchedule.h"
#include "RelayFleet.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Lavendervane;
using namespace std::chrono_literals;

static constexpr Instant start { 1000s };

BOOST_AUTO_TEST_SUITE(ChannelScheduleTest)

// Guards against VMs that start together and connect to their owners at the same moment: 300 VMs with 24 owners in
// common must not bring an owner much more than an even share of the connections in any 100 ms.
BOOST_AUTO_TEST_CASE(Start_ManyVms_SpreadConnections)
{
    std::vector<std::vector<std::string>> owners;
    owners.reserve(24);
    for (int owner = 0; owner < 24; ++owner)
        owners.push_back({ "vm-" + std::to_string(owner) });
    std::vector<ChannelSchedule> vms;
    vms.reserve(300);
    for (uint64_t vm = 0; vm < 300; ++vm) {
        vms.emplace_back(vm);
        vms.back().setOwners(owners, start);
    }
    size_t opened = 0;
    for (Instant now = start; now < start + 2s; now += 100ms) {
        std::map<std::string, size_t> byOwner;
        for (ChannelSchedule& vm : vms) {
            for (const std::string& address : vm.takeDue(now + 100ms))
                ++byOwner[address];
        }
        for (const auto& [address, count] : byOwner) {
            BOOST_TEST(count <= 40U); // 15 on average
            opened += count;
        }
    }
    BOOST_TEST(opened == 300U * 24U);
}

// Guards against descriptors that are used up by channels: a VM with many endpoints keeps the first owners of each.
BOOST_AUTO_TEST_CASE(SetOwners_TooMany_KeepsFirstOwners)
{
    ChannelSchedule schedule(1, { 4, 2s, 1s, 16s });
    schedule.setOwners({ { "a1", "a2" }, { "b1", "a1", "b3" }, { "c1", "c2" } }, start);
    auto due = schedule.takeDue(start + 2s);
    std::sort(due.begin(), due.end());
    BOOST_TEST(due == (std::vector<std::string> { "a1", "a2", "b1", "c1" }), boost::test_tools::per_element());
}

// Guards against a VM that asks an owner that is down again and again, or never again.
BOOST_AUTO_TEST_CASE(Closed_Repeatedly_BacksOff)
{
    ChannelSchedule schedule(1);
    schedule.setOwners({ { "a" } }, start);
    Instant now = start + 2s;
    for (const Duration delay : { 1s, 2s, 4s, 8s, 16s, 16s }) {
        BOOST_TEST(schedule.takeDue(now).size() == 1U);
        BOOST_TEST(!schedule.nextDue().has_value());
        schedule.recordClosed("a", now);
        BOOST_TEST((*schedule.nextDue() >= now + delay / 2));
        BOOST_TEST((*schedule.nextDue() < now + delay * 3 / 2));
        now += delay * 3 / 2;
    }
    schedule.recordConnected("a");
    schedule.recordClosed("a", now);
    BOOST_TEST((*schedule.nextDue() < now + 1500ms));
}

// Guards against links that wait for a connection between VMs, because the first statement opens it.
BOOST_FIXTURE_TEST_CASE(Vms_StartWithRelayedEndpoints_ConnectToOwnersOnce, RelayFleet)
{
    this->timers.advance(10s);
    for (const auto& [name, vm] : this->vms) {
        std::vector<std::string> reached;
        for (const auto& connection : this->network.opened) {
            if (connection.from == name)
                reached.push_back(connection.to);
        }
        std::sort(reached.begin(), reached.end());
        BOOST_TEST((std::adjacent_find(reached.begin(), reached.end()) == reached.end()));
        BOOST_TEST(reached.size() >= 2U);
        BOOST_TEST(reached.size() <= 6U);
    }
}

// Guards against a VM that connects to an owner without end while the owner accepts no connection.
BOOST_FIXTURE_TEST_CASE(Owner_AcceptsNoConnection_IsTriedWithBackoff, RelayFleet)
{
    const std::string owner = this->ownersOf("a").front();
    this->network.silentAddress = owner;
    this->timers.advance(30s);
    const auto attempts = std::count_if(this->network.opened.begin(), this->network.opened.end(),
        [&owner](const auto& connection) { return connection.to == owner; });
    BOOST_TEST(attempts >= 16);
    BOOST_TEST(attempts <= 8 * 7);
}

BOOST_AUTO_TEST_SUITE_END()
