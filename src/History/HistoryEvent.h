#pragma once

#include "Core/Outcome.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lavendervane {

/// Operation that a request of the load tool runs.
enum class HistoryOperation {
    Put, ///< writes a value to a key
    Append, ///< adds an item to a list
    Get, ///< reads a key
    PutPair, ///< writes one value to two keys in one transaction
    GetPair, ///< reads both keys in one transaction
};

std::string_view toString(HistoryOperation);

/// Inverse of toString(). Throws Error (step "parse operation") for an unknown name.
HistoryOperation parseOperation(std::string_view);

bool isWrite(HistoryOperation);

/// Keys that the operation reads or writes: the given key, or for a pair the two keys derived from it.
std::vector<std::string> touchedKeys(HistoryOperation, const std::string& key);

/// One request of a client and its response. A retry is an event of its own with the same idempotency key.
struct HistoryEvent {
    int64_t start = 0; ///< ns, boot clock, before the first byte was sent
    int64_t end = 0; ///< ns, boot clock, after the response or the failure
    std::string session;
    std::string organisation;
    std::string vm; ///< address of the VM that the request was sent to
    std::string group;
    HistoryOperation operation = HistoryOperation::Get;
    std::string key;
    std::string value; ///< unique per write; empty for reads
    std::string idempotencyKey;
    uint32_t attempt = 1;
    bool interactive = false; ///< sent as begin, statements and commit
    Outcome outcome = Outcome::Unknown;
    std::string code; ///< error code; empty if the outcome is done
    std::string endpoint; ///< endpoint that served the request
    std::string role; ///< role of the endpoint: "primary" or "replica"
    uint64_t position = 0; ///< log position in the response; 0 if it has none
    std::string token; ///< session token in the response
    std::string requestId; ///< request id in the response
    nlohmann::json results; ///< results of the statements, in order
    size_t line = 0; ///< line number in the history file, from 1; set by readHistory(), not stored

    friend bool operator==(const HistoryEvent&, const HistoryEvent&) = default;
};

/// Returns the history line of the event.
nlohmann::json toJson(const HistoryEvent&);

/// Inverse of toJson(). Throws Error or nlohmann::json::exception if the object is invalid.
HistoryEvent parseHistoryEvent(const nlohmann::json&);

/// Returns the text that appends the value to a stored list: the value and a separator.
std::string encodeListItem(const std::string& value);

/// Splits the text of a stored list into its items, in order.
std::vector<std::string> splitList(const std::string& list);

} // namespace Lavendervane
