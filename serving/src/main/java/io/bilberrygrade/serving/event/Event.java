package io.bilberrygrade.serving.event;

/** Numbered log event; its record components are the fields that are logged. */
public sealed interface Event
        permits ConfigEvent,
                ContentionEvent,
                CostEvent,
                ForwardEvent,
                LifecycleEvent,
                MembershipEvent,
                OrderEvent,
                RelayEvent,
                RequestEvent,
                RoomEvent,
                ShareEvent {}
