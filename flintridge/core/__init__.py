"""The request core: each request gets one final response, each attempt one end. Independent of protocols."""
