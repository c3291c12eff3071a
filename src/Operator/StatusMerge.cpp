#include "Operator/StatusMerge.h"

#include "operator.pb.h"

#include <algorithm>
#include <tuple>

namespace Lavendervane {

namespace {

/// Sort key of views of the same group: the view with the greater key is the newer one.
auto precedence(const lavendervane::GroupStatus& group)
{
    return std::tuple(group.term(), group.term_vm(), !group.primary().empty());
}

/// True if the VM that sent the status watches the group; other VMs do not know positions of endpoints.
bool isWatched(const lavendervane::GroupStatus& group)
{
    return std::any_of(group.endpoints().begin(), group.endpoints().end(),
        [](const auto& endpoint) { return endpoint.position() > 0; });
}

void mergeGroup(lavendervane::GroupStatus& known, const lavendervane::GroupStatus& part)
{
    const bool replacesKnown = precedence(part) > precedence(known)
        || (precedence(part) == precedence(known) && isWatched(part) && !isWatched(known));
    if (replacesKnown)
        known = part;
}

void mergeOrganisation(lavendervane::OrganisationStatus& known, const lavendervane::OrganisationStatus& part)
{
    known.set_admitted(known.admitted() + part.admitted());
    known.set_refused(known.refused() + part.refused());
    known.set_held_milli_rate(known.held_milli_rate() + part.held_milli_rate());
}

/// Merges `part` into the entry with the same name, or adds it.
template <typename Entries, typename Entry, typename NameOf, typename Merge>
void mergeEntry(Entries& entries, const Entry& part, NameOf nameOf, Merge merge)
{
    const auto found = std::find_if(
        entries.begin(), entries.end(), [&](const Entry& entry) { return nameOf(entry) == nameOf(part); });
    if (found == entries.end())
        *entries.Add() = part;
    else
        merge(*found, part);
}

} // namespace

void mergeStatus(lavendervane::StatusResponse& total, const lavendervane::StatusResponse& part)
{
    for (const auto& vm : part.vms()) {
        mergeEntry(
            *total.mutable_vms(), vm, [](const auto& entry) { return entry.vm(); },
            [](auto& known, const auto& update) {
                if (update.reachable())
                    known = update;
            });
    }
    for (const auto& group : part.groups())
        mergeEntry(
            *total.mutable_groups(), group, [](const auto& entry) { return entry.group(); }, mergeGroup);
    for (const auto& organisation : part.organisations()) {
        mergeEntry(
            *total.mutable_organisations(), organisation, [](const auto& entry) { return entry.organisation(); },
            mergeOrganisation);
    }
}

} // namespace Lavendervane
