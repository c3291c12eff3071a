#include "Traffic/JsonText.h"

#include "Core/Error.h"

namespace Lavendervane {

// Serialising a document recurses once per nesting level. 1 MiB of "[" would overflow the stack of a traffic thread.
static constexpr size_t maxDepth = 128;

static bool isTooDeep(std::string_view text)
{
    size_t depth = 0;
    bool inString = false;
    for (size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (inString) {
            if (character == '\\')
                ++index;
            else if (character == '"')
                inString = false;
        } else if (character == '"')
            inString = true;
        else if (character == '[' || character == '{') {
            if (++depth > maxDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth)
            --depth;
    }
    return false;
}

Json parseJson(std::string_view text)
{
    if (isTooDeep(text))
        throw Error("parse JSON", "", "the document is nested too deeply");
    Json document = Json::parse(text, nullptr, false);
    if (document.is_discarded())
        throw Error("parse JSON", "", "the document is not valid JSON in UTF-8");
    return document;
}

std::string stringMember(const Json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::string quoteJson(std::string_view text) { return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace); }

} // namespace Lavendervane
