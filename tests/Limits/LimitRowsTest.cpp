#include "Limits/LimitRows.h"

#include "Core/Error.h"

#include <boost/test/unit_test.hpp>

using namespace Lavendervane;

BOOST_AUTO_TEST_SUITE(LimitRowsTest)

static const DataCentre first("dc-b");
static const DataCentre second("dc-a");
static const DataCentre third("dc-c");

// If the shares add up to more than the limit, it is exceeded; if to less, requests within the limit are refused.
BOOST_AUTO_TEST_CASE(BaseShares_UnevenDivision_AddUpToTheLimitWithTheRemainderAtTheFirst)
{
    const ShareRow row = makeBaseShares(7, { 10, 2 }, { first, second, third });
    BOOST_TEST((row.share(first) == Capacity { 3334, 668 }));
    BOOST_TEST((row.share(second) == Capacity { 3333, 666 }));
    BOOST_TEST((row.share(third) == Capacity { 3333, 666 }));
    BOOST_TEST(row.share(DataCentre("dc-d")).empty());
}

// A changed limit must keep the proportions between the data centres and the sum within the limit.
BOOST_AUTO_TEST_CASE(Rescaled_OtherLimit_KeepsProportionsWithinTheLimit)
{
    ShareRow row = makeBaseShares(1, { 10, 10 }, { first, second });
    row.shares[first].capacity = { 7500, 7500 };
    row.shares[second].capacity = { 2500, 2500 };
    const ShareRow raised = rescaleShares(row, 2, { 20, 30 });
    BOOST_TEST((raised.share(first) == Capacity { 15000, 22500 }));
    BOOST_TEST((raised.share(second) == Capacity { 5000, 7500 }));
    const ShareRow lowered = rescaleShares(row, 2, { 1, 3 });
    BOOST_TEST((lowered.share(first) == Capacity { 750, 2250 }));
    BOOST_TEST((lowered.share(second) == Capacity { 250, 750 }));
}

// Other VMs and other versions read the rows, so serialising and parsing must be lossless.
BOOST_AUTO_TEST_CASE(Rows_WrittenAndRead_AreEqual)
{
    const LeaseRow lease { 9, VmId("vm-1"), "vm-1/5/6", { VmId("vm-1"), VmId("vm-2") } };
    BOOST_TEST((parseLeaseRow(toJson(lease)) == lease));
    ShareRow share = makeBaseShares(7, { 10, 2 }, { first, second });
    share.shares[second].wantedMilliRate = 123;
    share.shares[second].changeId = "vm-1/5/7";
    BOOST_TEST((parseShareRow(toJson(share)) == share));
    BOOST_CHECK_THROW(parseLeaseRow("{}"), Error);
    BOOST_CHECK_THROW(parseShareRow("["), Error);
}

BOOST_AUTO_TEST_SUITE_END()
