package io.bilberrygrade.serving.event;

/** Numbered log event; its record components are the fields that are logged. */
public sealed interface Event
        permits ConfigEvent,
                CostEvent,
                ForwardEvent,
                LifecycleEvent,
                MembershipEvent,
                OrderEvent,
                RequestEvent,
                ShareEvent {}
