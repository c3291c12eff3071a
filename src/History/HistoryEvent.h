#pragma once

#include "Core/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// What a request of the load tool does.
enum class HistoryOperation {
    Put, ///< writes a value to a key
    Append, ///< adds an item to a list
    Get, ///< reads a key
    PutPair, ///< writes one value to two keys in one transaction
    GetPair, ///< reads both keys in one transaction
};

std::string_view toString(HistoryOperation);

/// Throws Error (step "parse operation").
HistoryOperation parseOperation(std::string_view);

bool isWrite(HistoryOperation);

/// Keys that the operation touches: the key itself, or the two keys of a pair.
std::vector<std::string> touchedKeys(HistoryOperation, const std::string& key);

/// One request that a caller sent, and its answer. A retry is an event of its own with the same idempotency key.
struct HistoryEvent {
    int64_t start = 0; ///< ns, boot clock, before the first byte was sent
    int64_t end = 0; ///< ns, after the answer or the failure
    std::string session;
    std::string organisation;
    std::string vm; ///< address that the request was sent to
    std::string group;
    HistoryOperation operation = HistoryOperation::Get;
    std::string key;
    std::string value; ///< unique per write; empty for reads
    std::string idempotencyKey;
    uint32_t attempt = 1;
    bool interactive = false; ///< sent as begin, statements and commit
    Outcome outcome = Outcome::Unknown;
    std::string code; ///< of the error; empty if done
    std::string endpoint; ///< that served the request
    std::string role; ///< of that endpoint: "primary" or "replica"
    uint64_t position = 0; ///< 0 if the answer told none
    std::string token; ///< session token of the answer
    std::string requestId; ///< of the answer
    nlohmann::json results; ///< of the statements, in order
    size_t line = 0; ///< in the history file; not stored in it

    friend bool operator==(const HistoryEvent&, const HistoryEvent&) = default;
};

nlohmann::json toJson(const HistoryEvent&);

/// Throws Error or nlohmann::json::exception.
HistoryEvent parseHistoryEvent(const nlohmann::json&);

/// Item as it is stored in a list, with its separator.
std::string encodeListItem(const std::string& value);

/// Items of a list, in order.
std::vector<std::string> splitList(const std::string& list);

} // namespace Lavendervane
