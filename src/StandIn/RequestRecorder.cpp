#include "StandIn/RequestRecorder.h"

#include <algorithm>
#include <cctype>

namespace Lavendervane::StandIn {

static std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
        [](unsigned char byte) { return static_cast<char>(std::tolower(byte)); });
    return lower;
}

void RequestRecorder::record(const HttpRequest& request)
{
    for (const auto& field : request) {
        const auto name = field.name_string();
        const std::string_view nameView(name.data(), name.size());
        if (this->exactHeaders.find(nameView) == this->exactHeaders.end()) {
            this->exactHeaders.emplace(nameView);
            this->headers.insert(lowerCase(nameView));
        }
        this->collectKeys({ field.value().data(), field.value().size() });
    }
    this->collectKeys({ request.target().data(), request.target().size() });
    this->collectKeys(request.body());
}

void RequestRecorder::collectKeys(std::string_view text)
{
    constexpr std::string_view prefix = "lvk_";
    for (size_t start = text.find(prefix); start != std::string_view::npos; start = text.find(prefix, start + 1)) {
        const auto isKeyByte = [](unsigned char byte) { return std::isalnum(byte) || byte == '_' || byte == '-'; };
        const auto* end = std::find_if_not(text.begin() + start, text.end(), isKeyByte);
        this->keyLike.emplace(text.begin() + start, end);
    }
}

} // namespace Lavendervane::StandIn
