#pragma once

#include "Http/HttpMessages.h"
#include "StandIn/Statement.h"

#include <set>
#include <string>
#include <string_view>

namespace Lavendervane::StandIn {

/// Records header names and key-like texts of requests, so that tests can verify that no caller key reaches an
/// endpoint.
class SeenTraffic {
public:
    void observe(const HttpRequest&);

    /// Returns the names of all observed headers, in lower case.
    Json headerNames() const { return this->headers; }

    /// Returns the texts in header values, targets and bodies that have the form of a caller key ("lvk_...").
    Json keyLikeTexts() const { return this->keyLike; }

private:
    void collectKeys(std::string_view);

    std::set<std::string, std::less<>> exactHeaders;
    std::set<std::string> headers;
    std::set<std::string> keyLike;
};

} // namespace Lavendervane::StandIn
