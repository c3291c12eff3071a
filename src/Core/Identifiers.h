#pragma once

#include "Core/StrongString.h"

namespace Lavendervane {

using VmId = StrongString<struct VmIdTag>;
using DataCentre = StrongString<struct DataCentreTag>;
using OrganisationId = StrongString<struct OrganisationIdTag>;
using GroupId = StrongString<struct GroupIdTag>;
using EndpointId = StrongString<struct EndpointIdTag>;
using KeyId = StrongString<struct KeyIdTag>;

} // namespace Lavendervane
