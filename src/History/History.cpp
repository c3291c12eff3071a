#include "History/History.h"

#include "Core/Error.h"

namespace Lavendervane {

using Json = nlohmann::json;

Json limitToJson(const std::string& organisation, const HistoryLimit& limit)
{
    return { { "kind", "limit" }, { "organisation", organisation }, { "rate", limit.rate }, { "burst", limit.burst } };
}

static void parseLine(History& history, const std::string& text, size_t number)
{
    const Json object = Json::parse(text);
    const auto kind = object.at("kind").get<std::string>();
    if (kind == "limit") {
        history.limits[object.at("organisation").get<std::string>()]
            = { object.at("rate").get<double>(), object.at("burst").get<double>() };
    } else if (kind == "request") {
        history.events.push_back(parseHistoryEvent(object));
        history.events.back().line = number;
    } else
        throw Error("read history", "", "unknown kind \"" + kind + "\"");
}

History readHistory(std::istream& input)
{
    History history;
    std::string text;
    for (size_t number = 1; std::getline(input, text); ++number) {
        try {
            if (!text.empty())
                parseLine(history, text, number);
        } catch (const std::exception& error) {
            throw Error("read history", "", "line " + std::to_string(number) + ": " + error.what());
        }
    }
    return history;
}

} // namespace Lavendervane
