"""Distinct identifier types, so that a type checker finds mix-ups."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
ZoneId = NewType("ZoneId", str)
AccountId = NewType("AccountId", str)
ModelGroupId = NewType("ModelGroupId", str)
ServiceId = NewType("ServiceId", str)
AttemptId = NewType("AttemptId", str)
Incarnation = NewType("Incarnation", str)
ConfigVersion = NewType("ConfigVersion", int)
FencingToken = NewType("FencingToken", int)
OperationId = NewType("OperationId", str)
RankId = NewType("RankId", int)
ExpertId = NewType("ExpertId", int)
