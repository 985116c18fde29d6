#pragma once
/// @file Answers of back ends as bytes, in each framing, and where they can be cut.

#include <string>
#include <vector>

#include "net/http_types.hpp"

namespace madderdeck::tests {

/// An answer of status 200 as a back end of the users' platform sends it.
class framed_answer {
 public:
  /// @param pieces of the body; each is a chunk of its own, where there are chunks.
  /// @param head_lines besides the framing, each with its line end.
  framed_answer(net::body_framing framing, const std::vector<std::string>& pieces, const std::string& head_lines) {
    bytes_ = "HTTP/1.1 200 OK\r\n" + head_lines;
    std::size_t length = 0;
    for (const std::string& piece : pieces) {
      length += piece.size();
    }
    if (framing == net::body_framing::length) {
      bytes_ += "Content-Length: " + std::to_string(length) + "\r\n";
    } else if (framing == net::body_framing::chunks) {
      bytes_ += "Transfer-Encoding: chunked\r\n";
    }
    bytes_ += "\r\n";
    head_bytes_ = bytes_.size();
    body_at_.assign(bytes_.size() + 1, 0);
    for (const std::string& piece : pieces) {
      add_piece(framing, piece);
    }
    if (framing == net::body_framing::chunks) {
      add("0\r\n\r\n", false);
    }
  }

  const std::string& bytes() const { return bytes_; }
  std::size_t head_bytes() const { return head_bytes_; }
  /// @return how many bytes of the body are among the first @p cut bytes of the answer.
  std::size_t body_bytes(std::size_t cut) const { return body_at_.at(cut); }

 private:
  void add_piece(net::body_framing framing, const std::string& piece) {
    if (framing != net::body_framing::chunks) {
      add(piece, true);
      return;
    }
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string size;
    for (std::size_t rest = piece.size(); rest > 0; rest /= 16) {
      size.insert(size.begin(), kDigits[rest % 16]);
    }
    add(size + "\r\n", false);
    add(piece, true);
    add("\r\n", false);
  }
  void add(const std::string& text, bool is_body) {
    for (const char letter : text) {
      bytes_ += letter;
      body_at_.push_back(body_at_.back() + (is_body ? 1 : 0));
    }
  }

  std::string bytes_;
  std::size_t head_bytes_ = 0;
  std::vector<std::size_t> body_at_;
};

}  // namespace madderdeck::tests
