#include "Http/HttpMessages.h"

namespace Lavendervane {

HttpResponse makeJsonResponse(unsigned status, std::string body)
{
    HttpResponse response;
    response.version(11);
    response.result(status);
    response.set(boost::beast::http::field::content_type, "application/json");
    response.body() = std::move(body);
    return response;
}

} // namespace Lavendervane
