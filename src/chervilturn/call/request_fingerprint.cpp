// Hashes requests with OpenSSL.
#include "chervilturn/call/request_fingerprint.hpp"

#include <cstdio>
#include <cstring>
#include <memory>
#include <new>
#include <openssl/evp.h>

namespace chervilturn {

namespace {

class sha256 {
  public:
    sha256() : context{EVP_MD_CTX_new(), EVP_MD_CTX_free} {
        if (this->context == nullptr || EVP_DigestInit_ex(this->context.get(), EVP_sha256(), nullptr) != 1) {
            throw std::bad_alloc{};
        }
    }

    // The length before each field keeps the fields apart.
    void add(std::string_view field) {
        const std::uint64_t length = field.size();
        EVP_DigestUpdate(this->context.get(), &length, sizeof(length));
        EVP_DigestUpdate(this->context.get(), field.data(), field.size());
    }

    [[nodiscard]] request_fingerprint finish() {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
        unsigned length = 0;
        EVP_DigestFinal_ex(this->context.get(), digest.data(), &length);
        request_fingerprint fingerprint;
        std::memcpy(&fingerprint.high, digest.data(), sizeof(fingerprint.high));
        std::memcpy(&fingerprint.low, digest.data() + sizeof(fingerprint.high), sizeof(fingerprint.low));
        return fingerprint;
    }

  private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context;
};

} // namespace

request_fingerprint fingerprint_of(const call& received) {
    sha256 hash;
    for (const std::string_view field :
         {std::string_view{received.service}, std::string_view{received.method},
          std::string_view{received.target}, std::string_view{received.origin}, received.body.text()}) {
        hash.add(field);
    }
    return hash.finish();
}

std::string to_string(const request_fingerprint& fingerprint) {
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(fingerprint.high),
                  static_cast<unsigned long long>(fingerprint.low));
    return text.data();
}

} // namespace chervilturn
