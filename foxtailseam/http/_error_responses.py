"""Responses that a listener gives itself."""

from foxtailseam.http._messages import HttpResponse

BAD_REQUEST = HttpResponse(400)
REQUEST_TIMEOUT = HttpResponse(408)
CONTENT_TOO_LARGE = HttpResponse(413)
# The handler failed, so it is not known whether the request was run.
HANDLER_FAILED = HttpResponse(502)
# Sent in place of a response for which the buffers have no space.
RESPONSE_DROPPED = HttpResponse(502)
# By the time of the retry, the requests whose bodies fill the buffer should have
# been answered.
BUFFER_FULL = HttpResponse(503, ((b"Retry-After", b"1"),))
# Another host can take the request at once.
STOPPING = HttpResponse(503, ((b"Retry-After", b"0.05"),))
