#include "ReadAvailable.h"

#include <array>

namespace pimentopoint {

std::string_view readAvailable(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error)
{
    constexpr std::size_t readBytes = std::size_t(16) * 1024;
    thread_local std::array<char, readBytes> bytes;
    if (error)
        return {};
    std::size_t size = socket.read_some(boost::asio::buffer(bytes), error);
    return { bytes.data(), size };
}

} // namespace pimentopoint
