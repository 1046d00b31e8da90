"""Packet flows: connections whose packets may arrive at any balancer.

The second protocol of the product, next to CoAP. The payload of a flow is never
read; decisions depend on header fields alone.
"""
