#include "Peer/PeerMessages.h"

#include "peer.pb.h"

namespace Lavendervane {

static void write(const Capacity& capacity, lavendervane::CapacityMessage& message)
{
    message.set_milli_rate(capacity.milliRate);
    message.set_milli_burst(capacity.milliBurst);
}

static Capacity parseCapacity(const lavendervane::CapacityMessage& message)
{
    return { message.milli_rate(), message.milli_burst() };
}

static void write(const GrantDemand& demand, lavendervane::GrantDemandMessage& message)
{
    message.set_organisation(demand.organisation.str());
    write(demand.held, *message.mutable_held());
    write(demand.wanted, *message.mutable_wanted());
    message.set_returned_milli_tokens(demand.returnedMilliTokens);
}

static GrantDemand parseDemand(const lavendervane::GrantDemandMessage& message)
{
    return { OrganisationId(message.organisation()), parseCapacity(message.held()), parseCapacity(message.wanted()),
        message.returned_milli_tokens() };
}

void write(const GrantRequest& request, lavendervane::GrantRequestMessage& message)
{
    message.set_holder(request.holder.str());
    message.set_incarnation(request.incarnation);
    message.set_epoch(request.epoch);
    message.set_sequence(request.sequence);
    for (const GrantDemand& demand : request.demands)
        write(demand, *message.add_demands());
}

GrantRequest parseGrantRequest(const lavendervane::GrantRequestMessage& message)
{
    GrantRequest request;
    request.holder = VmId(message.holder());
    request.incarnation = message.incarnation();
    request.epoch = message.epoch();
    request.sequence = message.sequence();
    for (const auto& demand : message.demands())
        request.demands.push_back(parseDemand(demand));
    return request;
}

void write(const AnswerGrant& answer, lavendervane::GrantResponseMessage& message)
{
    const GrantResponse& response = answer.response;
    message.set_accepted(answer.accepted);
    message.set_epoch(response.epoch);
    message.set_sequence(response.sequence);
    // Rounded down, so that a holder does not use a grant for longer than the allocator reserves it.
    message.set_validity_ms(
        static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(response.validity).count()));
    message.set_moves(response.moves);
    for (const GrantedCapacity& grant : response.grants) {
        auto& entry = *message.add_grants();
        entry.set_organisation(grant.organisation.str());
        write(grant.capacity, *entry.mutable_capacity());
        entry.set_added_milli_tokens(grant.addedMilliTokens);
    }
}

AnswerGrant parseGrantAnswer(const lavendervane::GrantResponseMessage& message)
{
    AnswerGrant answer;
    answer.accepted = message.accepted();
    answer.response.epoch = message.epoch();
    answer.response.sequence = message.sequence();
    answer.response.validity = std::chrono::milliseconds(message.validity_ms());
    answer.response.moves = message.moves();
    for (const auto& grant : message.grants()) {
        answer.response.grants.push_back(
            { OrganisationId(grant.organisation()), parseCapacity(grant.capacity()), grant.added_milli_tokens() });
    }
    return answer;
}

void write(const AllocatorClaim& claim, lavendervane::ClaimAllocatorRequest& message)
{
    message.set_data_centre(claim.dataCentre.str());
    message.set_allocator(claim.allocator.str());
    message.set_epoch(claim.epoch);
    message.set_recalled(claim.recalled.str());
}

AllocatorClaim parseClaim(const lavendervane::ClaimAllocatorRequest& message)
{
    return { DataCentre(message.data_centre()), VmId(message.allocator()), message.epoch(),
        OrganisationId(message.recalled()) };
}

void write(const AnswerClaim& answer, lavendervane::ClaimAllocatorResponse& message)
{
    message.set_accepted(answer.accepted);
    message.set_holder(answer.report.holder.str());
    message.set_incarnation(answer.report.incarnation);
    message.set_epoch(answer.report.epoch);
    message.set_sequence(answer.report.sequence);
    for (const GrantDemand& demand : answer.report.held)
        write(demand, *message.add_held());
}

AnswerClaim parseClaimAnswer(const lavendervane::ClaimAllocatorResponse& message)
{
    AnswerClaim answer;
    answer.accepted = message.accepted();
    answer.report.holder = VmId(message.holder());
    answer.report.incarnation = message.incarnation();
    answer.report.epoch = message.epoch();
    answer.report.sequence = message.sequence();
    for (const auto& demand : message.held())
        answer.report.held.push_back(parseDemand(demand));
    return answer;
}

} // namespace Lavendervane
