#include "Fleet/RegistryFilter.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

namespace {

RegistryEntry entry(const std::string& id, uint64_t sequence, EndpointRole role, bool draining = false)
{
    RegistryEntry made;
    made.endpoint.id = EndpointId(id);
    made.endpoint.startedAt = 1000;
    made.endpoint.role = role;
    made.endpoint.draining = draining;
    made.sequence = sequence;
    return made;
}

struct RegistryFilterFixture {
    const RegisteredEndpoint* find(const std::string& id) const
    {
        for (const RegisteredEndpoint& endpoint : this->endpoints) {
            if (endpoint.id == EndpointId(id))
                return &endpoint;
        }
        return nullptr;
    }

    void read(std::vector<RegistryEntry> entries, uint64_t generation)
    {
        this->endpoints = this->filter.update({ std::move(entries), generation });
    }

    RegistryFilter filter;
    std::vector<RegisteredEndpoint> endpoints;
};

constexpr auto primary = EndpointRole::Primary;
constexpr auto replica = EndpointRole::Replica;

} // namespace

BOOST_FIXTURE_TEST_SUITE(RegistryFilterTest, RegistryFilterFixture)

// Guards against a replaced primary that is taken for the primary again.
BOOST_AUTO_TEST_CASE(Role_RestoredFromBeforePromotion_IsIgnored)
{
    this->read({ entry("a", 20, replica), entry("b", 18, primary) }, 1);
    this->read({ entry("a", 9, primary), entry("b", 8, replica) }, 2);
    BOOST_TEST((this->find("a")->role == replica));
    BOOST_TEST((this->find("b")->role == primary));
    BOOST_TEST(this->filter.unconfirmedCount() == 2U);
}

// Guards against an endpoint that is leaving and gets new work again.
BOOST_AUTO_TEST_CASE(State_RestoredFromBeforeDraining_IsIgnored)
{
    this->read({ entry("a", 20, replica, true) }, 1);
    this->read({ entry("a", 9, replica) }, 2);
    BOOST_TEST(this->find("a")->draining);
}

// Guards against an endpoint that has left and is in use again.
BOOST_AUTO_TEST_CASE(Endpoint_LeftBeforeRestore_IsNotUsedUntilItRenewsItsEntry)
{
    this->read({ entry("a", 20, primary), entry("b", 3, replica) }, 1);
    this->read({ entry("a", 21, primary) }, 1);
    this->read({ entry("a", 15, primary), entry("b", 9, replica) }, 2);
    BOOST_TEST(!this->find("b"));
    this->read({ entry("a", 15, primary), entry("b", 9, replica) }, 2);
    BOOST_TEST(!this->find("b"));
    this->read({ entry("a", 22, primary), entry("b", 10, replica) }, 2);
    BOOST_TEST(this->find("b"));
    BOOST_TEST(this->filter.unconfirmedCount() == 0U);
}

// Guards against an endpoint whose present role is never learnt, because only its sequence number has changed.
BOOST_AUTO_TEST_CASE(Role_SameAsInCopyAfterRenewal_IsUsed)
{
    this->read({ entry("a", 20, primary) }, 1);
    this->read({ entry("a", 9, replica) }, 2);
    BOOST_TEST((this->find("a")->role == primary));
    this->read({ entry("a", 31, replica) }, 2);
    BOOST_TEST((this->find("a")->role == replica));
}

BOOST_AUTO_TEST_CASE(Entry_RenewedAfterRestore_IsUsedAtOnce)
{
    this->read({ entry("a", 20, primary) }, 1);
    this->read({ entry("a", 25, replica) }, 2);
    BOOST_TEST((this->find("a")->role == replica));
    BOOST_TEST(this->filter.unconfirmedCount() == 0U);
}

// An endpoint that restarts begins to count again, and its new entry is the valid one.
BOOST_AUTO_TEST_CASE(Entry_OfLaterRun_IsUsedAtOnce)
{
    this->read({ entry("a", 20, primary) }, 1);
    RegistryEntry restarted = entry("a", 1, replica);
    restarted.endpoint.startedAt = 2000;
    this->read({ restarted }, 2);
    BOOST_TEST((this->find("a")->role == replica));
}

// An endpoint that restarts after the restore may come to the sequence number that the copy holds.
BOOST_AUTO_TEST_CASE(Entry_OfLaterRunWithSequenceOfCopy_IsUsed)
{
    this->read({ entry("a", 20, primary) }, 1);
    this->read({ entry("a", 3, primary) }, 2);
    RegistryEntry restarted = entry("a", 3, replica);
    restarted.endpoint.startedAt = 2000;
    this->read({ restarted }, 2);
    BOOST_TEST((this->find("a")->role == replica));
}

// The first read of a process and the reads within one generation show the present.
BOOST_AUTO_TEST_CASE(Entries_WithoutRestore_AreUsed)
{
    for (const uint64_t generation : { 0U, 3U }) {
        this->filter = {};
        this->read({ entry("a", 20, primary) }, generation);
        this->read({ entry("a", 4, replica), entry("b", 1, primary) }, generation);
        BOOST_TEST((this->find("a")->role == replica));
        BOOST_TEST(this->find("b"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
