#pragma once

namespace lavendervane {
class StatusResponse;
}

namespace Lavendervane {

/// Merges the status of one VM, `part`, into the combined status, `total`. Of two views of a group it keeps the one
/// with the higher term, and at equal terms the one of a VM that watches the group. It adds up the counts and the held
/// capacities of organisations.
void mergeStatus(lavendervane::StatusResponse& total, const lavendervane::StatusResponse& part);

} // namespace Lavendervane
