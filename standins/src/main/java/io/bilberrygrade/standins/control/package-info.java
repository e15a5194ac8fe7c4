/** Base of the stand-ins: servers, fault switches and JSON conversion. */
package io.bilberrygrade.standins.control;
