"""The request core: one final response for each request, one end for each attempt. It knows no protocol."""
