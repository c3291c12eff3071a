#include "Operator/StatusMerge.h"

#include "operator.pb.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(StatusMergeTest)

static lavendervane::StatusResponse makeStatus(uint64_t term, const char* primary, uint64_t position)
{
    lavendervane::StatusResponse status;
    auto& group = *status.add_groups();
    group.set_group("g");
    group.set_term(term);
    group.set_primary(primary);
    auto& endpoint = *group.add_endpoints();
    endpoint.set_endpoint("g-a");
    endpoint.set_position(position);
    auto& organisation = *status.add_organisations();
    organisation.set_organisation("o");
    organisation.set_rate(100);
    organisation.set_admitted(5);
    organisation.set_held_milli_rate(1000);
    return status;
}

// If the merged status showed the old primary after a failover, an operator would act on the wrong database.
BOOST_AUTO_TEST_CASE(Merge_TwoTerms_KeepsTheHigher)
{
    for (const bool newerFirst : { true, false }) {
        lavendervane::StatusResponse total;
        mergeStatus(total, newerFirst ? makeStatus(2, "g-b", 9) : makeStatus(1, "g-a", 5));
        mergeStatus(total, newerFirst ? makeStatus(1, "g-a", 5) : makeStatus(2, "g-b", 9));
        BOOST_REQUIRE(total.groups_size() == 1);
        BOOST_TEST(total.groups(0).primary() == "g-b");
    }
}

BOOST_AUTO_TEST_CASE(Merge_ViewWithoutPositions_DoesNotReplaceOneWithPositions)
{
    lavendervane::StatusResponse total;
    mergeStatus(total, makeStatus(1, "g-a", 7));
    mergeStatus(total, makeStatus(1, "g-a", 0));
    BOOST_TEST(total.groups(0).endpoints(0).position() == 7U);
}

BOOST_AUTO_TEST_CASE(Merge_Organisations_AddsCountsButNotLimits)
{
    lavendervane::StatusResponse total;
    mergeStatus(total, makeStatus(1, "g-a", 7));
    mergeStatus(total, makeStatus(1, "g-a", 7));
    BOOST_TEST(total.organisations(0).admitted() == 10U);
    BOOST_TEST(total.organisations(0).held_milli_rate() == 2000U);
    BOOST_TEST(total.organisations(0).rate() == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
