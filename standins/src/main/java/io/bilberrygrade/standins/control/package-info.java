/** What every stand-in shares: servers, fault switches and JSON answers. */
package io.bilberrygrade.standins.control;
