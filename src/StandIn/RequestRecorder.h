#pragma once

#include "Http/HttpMessages.h"
#include "StandIn/Statement.h"

#include <set>
#include <string>
#include <string_view>

namespace Lavendervane::StandIn {

/// Records header names and key-like texts of all requests, so that a test can verify that no API key of a caller
/// reaches an endpoint.
class RequestRecorder {
public:
    void record(const HttpRequest&);

    /// Names of all headers received so far, in lower case.
    Json headerNames() const { return this->headers; }

    /// Texts in header values, targets and bodies that have the form of an API key ("lvk_...").
    Json keyLikeTexts() const { return this->keyLike; }

private:
    void collectKeys(std::string_view);

    std::set<std::string, std::less<>> exactHeaders;
    std::set<std::string> headers;
    std::set<std::string> keyLike;
};

} // namespace Lavendervane::StandIn
