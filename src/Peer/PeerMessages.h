#pragma once

#include "Control/GossipMessage.h"
#include "Limits/GrantMessages.h"

namespace lavendervane {
class ClaimAllocatorRequest;
class ClaimAllocatorResponse;
class GrantRequestMessage;
class GrantResponseMessage;
class MemberMessage;
class ProbeRequest;
class ProbeResponse;
} // namespace lavendervane

namespace Lavendervane {

// Conversions between the types of the control code and the messages of proto/peer.proto.

void write(const Member&, lavendervane::MemberMessage&);
Member parseMember(const lavendervane::MemberMessage&);
void write(const GossipMessage&, lavendervane::ProbeRequest&);
void write(const GossipMessage&, lavendervane::ProbeResponse&);
GossipMessage parseGossipMessage(const lavendervane::ProbeRequest&);
GossipMessage parseGossipMessage(const lavendervane::ProbeResponse&);

void write(const GrantRequest&, lavendervane::GrantRequestMessage&);
GrantRequest parseGrantRequest(const lavendervane::GrantRequestMessage&);
void write(const AnswerGrant&, lavendervane::GrantResponseMessage&);
AnswerGrant parseGrantAnswer(const lavendervane::GrantResponseMessage&);
void write(const AllocatorClaim&, lavendervane::ClaimAllocatorRequest&);
AllocatorClaim parseClaim(const lavendervane::ClaimAllocatorRequest&);
void write(const AnswerClaim&, lavendervane::ClaimAllocatorResponse&);
AnswerClaim parseClaimAnswer(const lavendervane::ClaimAllocatorResponse&);

} // namespace Lavendervane
